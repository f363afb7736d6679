#pragma once

/**
 * @brief What gateways and loaders share: following the platform's store, registration, and word from peers.
 */
namespace rhubarbwharf::node {

struct core;
class follower;

} // namespace rhubarbwharf::node
