#pragma once

/**
 * @brief Client for the platform's key-value service and list of instances.
 */
namespace rhubarbwharf::platform {

class client;
struct key_value;
struct put_outcome;
struct client_settings;
struct call_counts;

} // namespace rhubarbwharf::platform
