#pragma once

/**
 * @brief Model manifests and the peer-to-peer exchange of their chunks.
 */
namespace rhubarbwharf::distribution {

class bit_set;

struct manifest;
struct byte_range;
struct token_bucket;
struct policy;
struct chunk_claim;
struct source_state;
struct upload_refusal;
struct link_state;
struct active_fetch;
struct command;
struct swarm;

} // namespace rhubarbwharf::distribution
