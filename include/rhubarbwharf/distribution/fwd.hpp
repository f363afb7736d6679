#pragma once

/**
 * @brief Manifests, chunk tables, and who fetches what from whom.
 */
namespace rhubarbwharf::distribution {

class bit_set;

struct manifest;
struct byte_range;
struct token_bucket;
struct policy;
struct member;
struct source_row;
struct link_row;
struct fetch_row;
struct command;
struct swarm;

} // namespace rhubarbwharf::distribution
