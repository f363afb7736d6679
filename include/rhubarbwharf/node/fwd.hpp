#pragma once

/**
 * @brief Parts shared by gateways and loaders: following the platform's store, registration and messages to peers.
 */
namespace rhubarbwharf::node {

struct core;
class follower;

} // namespace rhubarbwharf::node
