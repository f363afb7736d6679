#pragma once

/**
 * @brief At-most-once execution of non-idempotent calls, based on a journal in the key-value service.
 */
namespace rhubarbwharf::execution {

struct call_key;
struct record;
struct segment;
struct stored_segment;
struct options;
struct key_entry;
struct shard;
struct owner;
struct call_request;
struct call_result;
struct write_result;

} // namespace rhubarbwharf::execution
