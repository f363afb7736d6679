#pragma once

/**
 * @brief Gateway role: forwards callers' requests to backend servers.
 */
namespace rhubarbwharf::gateway {

struct daemon;
struct exchange;

} // namespace rhubarbwharf::gateway
