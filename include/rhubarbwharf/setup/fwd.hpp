#pragma once

/**
 * @brief What both roles make of their settings at the start.
 */
namespace rhubarbwharf::setup {} // namespace rhubarbwharf::setup
