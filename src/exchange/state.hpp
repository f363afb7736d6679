#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/names.hpp>
#include <rhubarbwharf/distribution/manifest.hpp>
#include <rhubarbwharf/distribution/pacing.hpp>
#include <rhubarbwharf/distribution/swarm.hpp>
#include <rhubarbwharf/exchange/exchange.hpp>

namespace rhubarbwharf::exchange::internal {

using shared_bytes = std::shared_ptr<const std::string>;

/*! @brief Location of a peer; `m_bulk_endpoint` is the listener that serves its chunks. */
struct peer_info {
    net::endpoint m_bulk_endpoint{};
    region_id m_region{};
    bool m_same_group{};
};

/*! @brief Running download of one chunk. */
struct download {
    digest m_version{};
    std::uint64_t m_attempt{};
    std::uint32_t m_chunk{};
    instance_id m_source{};
    /*! @brief Region at the other end of the link whose rate limit applies; empty within the region. */
    std::optional<region_id> m_link{};
    std::string m_body{};
    std::uint64_t m_expected_bytes{};
    std::uint16_t m_status{};
    bool m_paused{};
    std::shared_ptr<net::call> m_call{};
};

/*! @brief Running upload: part of a chunk for a peer, or a complete version for the local engine. */
struct upload {
    digest m_version{};
    std::shared_ptr<net::responder> m_responder{};
    std::vector<shared_bytes> m_buffers{};
    std::size_t m_buffer_index{};
    std::size_t m_offset{};
    /*! @brief Whether the upload is subject to the rate limit of `m_upload_bucket`. */
    bool m_paced{true};
    /*! @brief Whether the receiver is in another region. */
    bool m_remote{};
    bool m_closed{};
};

/*! @brief A requested version; everything but the request state is set once the manifest has been received. */
struct version {
    std::optional<distribution::manifest> m_manifest{};
    std::string m_manifest_text{};
    distribution::swarm m_swarm{};
    distribution::policy m_policy{};
    bool m_manifest_requested{};
    std::uint32_t m_manifest_attempts{};
    time_point m_next_manifest_request{};
};

/*! @brief Implementation of `exchange`. Instance id 0 is the local instance. */
struct exchange_state : std::enable_shared_from_this<exchange_state> {
    exchange_state(net::loop& loop, net::http_client& http, net::counters& counters, const config::settings& settings,
                   exchange::sender send, exchange::completion_handler on_complete);

    net::loop& m_loop;
    net::http_client& m_http;
    net::counters& m_counters;
    config::distribution_settings m_settings;
    std::string m_group;
    std::string m_local_region_name;
    std::size_t m_send_queue_bytes;
    exchange::sender m_send;
    exchange::completion_handler m_on_complete;
    distribution::policy m_policy{};
    std::optional<net::endpoint> m_origin{};

    names<instance_id> m_instances{};
    names<region_id> m_regions{};
    std::vector<std::uint64_t> m_region_hashes{};
    region_id m_origin_region{};
    std::vector<distribution::member> m_members{};
    std::vector<peer_info> m_peer_info{};

    std::map<digest, version> m_versions{};
    std::unordered_map<digest, shared_bytes> m_chunks{};
    std::uint64_t m_held_bytes{};
    std::vector<std::shared_ptr<download>> m_downloads{};
    std::vector<std::shared_ptr<upload>> m_uploads{};
    /*! @brief Index of the upload with which the next round of slices starts, modulo the number of uploads. */
    std::size_t m_next_upload{};
    distribution::token_bucket m_upload_bucket{};
    distribution::token_bucket m_download_bucket{};
    std::map<region_id, distribution::token_bucket> m_link_buckets{};
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_memory_full{};
};

/*! @brief Returns the dense id of a region; registers the region and its stable hash on first use. */
auto intern_region(exchange_state& state, std::string_view name) -> region_id;

/*! @brief Replaces the list of peers and updates the swarm of every version. */
auto update_peers(exchange_state& state, std::span<const peer> peers) -> void;

/*! @brief Applies a HaveMap of a peer; any other message is ignored. */
auto handle_message(exchange_state& state, std::string_view from, const wire::Envelope& message) -> void;

auto send_have_map(exchange_state& state, const digest& manifest, const version& entry, instance_id recipient) -> void;

/*! @brief Requests every missing manifest whose retry interval has elapsed. */
auto request_manifests(exchange_state& state, time_point now) -> void;

/*! @brief Runs `distribution::plan` for every version and executes its commands, within the memory limit. */
auto schedule_fetches(exchange_state& state, time_point now) -> void;

/*! @brief Resumes the paused downloads whose rate limits allow it. */
auto resume_downloads(exchange_state& state, time_point now) -> void;

auto cancel_downloads(exchange_state& state, const digest& manifest) -> void;

/*! @brief Serves a request to the bulk listener. */
auto handle_request(exchange_state& state, const net::http_request& request,
                    const std::shared_ptr<net::responder>& responder) -> void;

/*! @brief Continues the uploads: the local engine first, then other regions, then the own region. */
auto pump_uploads(exchange_state& state, time_point now) -> void;

/*! @brief Returns the state as a JSON object, for the state dump. */
[[nodiscard]] auto dump_json(const exchange_state& state) -> std::string;

} // namespace rhubarbwharf::exchange::internal
