#pragma once

/**
 * @brief Conversions of the settings that all roles use at startup, and authentication by bearer key.
 */
namespace rhubarbwharf::setup {} // namespace rhubarbwharf::setup
