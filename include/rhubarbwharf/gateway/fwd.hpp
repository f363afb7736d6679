#pragma once

/**
 * @brief The role beside a platform's own store that takes callers' requests to backend servers.
 */
namespace rhubarbwharf::gateway {

struct daemon;
struct exchange;

} // namespace rhubarbwharf::gateway
