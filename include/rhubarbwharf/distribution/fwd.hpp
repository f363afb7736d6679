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
struct claim_row;
struct source_row;
struct refused_row;
struct link_row;
struct fetch_row;
struct command;
struct swarm;

} // namespace rhubarbwharf::distribution
