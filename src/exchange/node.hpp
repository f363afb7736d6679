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

using bytes = std::shared_ptr<const std::string>;

/*! @brief Where a peer's chunks are to be had. */
struct address_row {
    net::endpoint m_bulk{};
    region_id m_region{};
    bool m_same_group{};
};

/*! @brief A chunk that is coming in. */
struct download {
    digest m_version{};
    std::uint64_t m_attempt{};
    std::uint32_t m_chunk{};
    instance_id m_source{};
    std::optional<region_id> m_link{};
    std::string m_body{};
    std::uint64_t m_expected{};
    std::uint16_t m_status{};
    bool m_paused{};
    std::shared_ptr<net::call> m_call{};
};

/*! @brief A chunk, or a whole version for the local engine, that is going out. */
struct upload {
    digest m_version{};
    std::shared_ptr<net::responder> m_answer{};
    std::vector<bytes> m_pieces{};
    std::size_t m_piece{};
    std::size_t m_offset{};
    /*! @brief Whether the upload bucket holds it back. */
    bool m_paced{true};
    bool m_remote{};
    bool m_closed{};
};

/*! @brief One version that is wanted. */
struct version {
    std::optional<distribution::manifest> m_manifest{};
    std::string m_text{};
    distribution::swarm m_swarm{};
    distribution::policy m_rules{};
    bool m_manifest_asked{};
    std::uint32_t m_manifest_tries{};
    time_point m_manifest_next{};
};

/*! @brief Tables and means of one exchange. */
struct node : std::enable_shared_from_this<node> {
    node(net::loop& owner, net::http_client& http, net::counters& counts, const config::settings& settings,
         exchange::sender send, exchange::whole_handler on_whole);

    net::loop& m_loop;
    net::http_client& m_http;
    net::counters& m_counts;
    config::distribution_settings m_settings;
    std::string m_group;
    std::string m_region_name;
    std::size_t m_send_queue_bytes;
    exchange::sender m_send;
    exchange::whole_handler m_on_whole;
    distribution::policy m_rules{};
    std::optional<net::endpoint> m_origin{};

    names<instance_id> m_names{};
    names<region_id> m_regions{};
    std::vector<std::uint64_t> m_region_hashes{};
    region_id m_origin_region{};
    std::vector<distribution::member> m_members{};
    std::vector<address_row> m_addresses{};

    std::map<digest, version> m_versions{};
    std::unordered_map<digest, bytes> m_chunks{};
    std::uint64_t m_held_bytes{};
    std::vector<std::shared_ptr<download>> m_downloads{};
    std::vector<std::shared_ptr<upload>> m_uploads{};
    std::size_t m_next_upload{};
    distribution::token_bucket m_upload_bucket{};
    distribution::token_bucket m_download_bucket{};
    std::map<region_id, distribution::token_bucket> m_link_buckets{};
    std::mt19937_64 m_random{std::random_device{}()};
    bool m_full{};
};

/*! @brief Region as a dense id; its hash is kept for the decisions. */
auto region_of(node& state, std::string_view name) -> region_id;

/*! @brief Takes the list of peers into the tables and tells every version. */
auto take_peers(node& state, std::span<const peer> peers) -> void;

/*! @brief Takes a HaveMap. */
auto take_message(node& state, std::string_view from, const wire::Envelope& message) -> void;

/*! @brief Sends the have-map of a version to one peer. */
auto send_have(node& state, const digest& name, const version& entry, instance_id to) -> void;

/*! @brief Asks for the manifest of each version that has none. */
auto plan_manifests(node& state, time_point now) -> void;

/*! @brief Runs the decisions of every version and carries out their commands. */
auto plan_versions(node& state, time_point now) -> void;

/*! @brief Goes on reading where pacing allows it again. */
auto resume_downloads(node& state, time_point now) -> void;

/*! @brief Cuts every download of a version. */
auto cancel_downloads(node& state, const digest& name) -> void;

/*! @brief Answers one request on the bulk listener. */
auto answer(node& state, const net::http_request& request, const std::shared_ptr<net::responder>& to) -> void;

/*! @brief Sends what pacing allows: other regions first, then the uploads in turn. */
auto pump_uploads(node& state, time_point now) -> void;

/*! @brief Writes the tables as JSON. */
[[nodiscard]] auto write_dump(const node& state) -> std::string;

} // namespace rhubarbwharf::exchange::internal
