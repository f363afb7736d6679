#pragma once

#include <string_view>

#include <rhubarbwharf/config/settings.hpp>

namespace rhubarbwharf::config::internal {

/*! @brief What text a setting may hold. */
enum class form : unsigned char { any, name, address, listen_address, role, node_role, level, operation };

/*! @brief What a setting may hold, and what it means. */
struct rule {
    std::string_view m_meaning{};
    std::string_view m_unit{};
    double m_least{};
    double m_most{};
    bool m_required{};
    form m_form{form::any};
};

constexpr double day_ms = 86'400'000.0;
constexpr double bytes_max = 1'099'511'627'776.0;
constexpr double count_max = 1'000'000.0;

/*! @brief Rule for a whole number or a fraction. */
[[nodiscard]] constexpr auto range(const std::string_view meaning, const std::string_view unit, const double least,
                                   const double most) -> rule {
    return {.m_meaning = meaning, .m_unit = unit, .m_least = least, .m_most = most};
}

/*! @brief Rule for a text. */
[[nodiscard]] constexpr auto text(const std::string_view meaning, const form which, const bool required = false)
    -> rule {
    return {.m_meaning = meaning, .m_required = required, .m_form = which};
}

/*! @brief Rule for a truth value, a digest, a list or a group of settings. */
[[nodiscard]] constexpr auto plain(const std::string_view meaning, const bool required = false) -> rule {
    return {.m_meaning = meaning, .m_required = required};
}

template <typename Visitor>
auto visit(Visitor& visitor, listen_settings& values) -> void {
    visitor.field("callers", values.m_callers, text("Callers' HTTP listener; entries only.", form::listen_address));
    visitor.field("admin", values.m_admin, text("Admin HTTP listener.", form::listen_address, true));
    visitor.field("bus", values.m_bus, text("Listener for the other processes.", form::listen_address, true));
    visitor.field("bulk", values.m_bulk, text("Weight exchange over HTTP; agents only.", form::listen_address));
}

template <typename Visitor>
auto visit(Visitor& visitor, limit_settings& values) -> void {
    visitor.field("header_bytes", values.m_header_bytes,
                  range("Largest header of a request.", "bytes", 1'024, 1'048'576));
    visitor.field("body_bytes", values.m_body_bytes,
                  range("Largest body of a request.", "bytes", 1'024, 1'073'741'824));
    visitor.field("connections", values.m_connections, range("Open connections of a listener.", "", 1, 65'536));
    visitor.field("request_ms", values.m_request_ms,
                  range("Time within which a request must have arrived.", "ms", 100, day_ms));
    visitor.field("idle_ms", values.m_idle_ms, range("Time that an idle connection is kept.", "ms", 100, day_ms));
    visitor.field("send_queue_bytes", values.m_send_queue_bytes,
                  range("Bytes that may wait for a slow reader.", "bytes", 4'096, 1'073'741'824));
    visitor.field("message_bytes", values.m_message_bytes,
                  range("Largest message between processes.", "bytes", 65'536, 1'073'741'824));
    visitor.field("queue_messages", values.m_queue_messages,
                  range("Messages that may wait for one peer.", "", 16, count_max));
}

template <typename Visitor>
auto visit(Visitor& visitor, platform_settings& values) -> void {
    visitor.field("addresses", values.m_addresses, text("Servers of the key-value service.", form::address, true));
    visitor.field("reads_per_second", values.m_reads_per_second,
                  range("Reads that this process may make.", "1/s", 0.1, 2'000));
    visitor.field("writes_per_second", values.m_writes_per_second,
                  range("Writes that this process may make.", "1/s", 0.1, 1'000));
    visitor.field("call_ms", values.m_call_ms, range("Time for one call.", "ms", 10, 60'000));
    visitor.field("watch", values.m_watch,
                  plain("Whether this process watches the desired state; the others learn it from their peers."));
}

template <typename Visitor>
auto visit(Visitor& visitor, entry_settings& values) -> void {
    visitor.field("instance", values.m_instance, text("Name of the entry instance.", form::name, true));
    visitor.field("region", values.m_region, text("Its region.", form::name, true));
    visitor.field("data_centre", values.m_data_centre, text("Its data centre.", form::name, true));
    visitor.field("bus", values.m_bus, text("Where the other processes reach it.", form::address, true));
    visitor.field("callers", values.m_callers, text("Where callers reach it.", form::address, true));
}

template <typename Visitor>
auto visit(Visitor& visitor, key_settings& values) -> void {
    visitor.field("name", values.m_name, text("Name of the organisation or operator.", form::name, true));
    visitor.field("key_sha256", values.m_key_sha256, plain("SHA-256 of the bearer key, 64 hexadecimal digits.", true));
    visitor.field("weight", values.m_weight, range("Weight of the fair share; organisations only.", "", 0.01, 1'000));
}

template <typename Visitor>
auto visit(Visitor& visitor, service_settings& values) -> void {
    visitor.field("name", values.m_name, text("Name of the plain service.", form::name, true));
    visitor.field("non_idempotent", values.m_non_idempotent,
                  text("Operations of which each call may run at most once, as `METHOD /path`.", form::operation));
}

template <typename Visitor>
auto visit(Visitor& visitor, backend_settings& values) -> void {
    visitor.field("address", values.m_address, text("The backend server; agents only.", form::address));
    visitor.field("group", values.m_group,
                  text("Group of model runners, or name of the plain service; agents only.", form::name));
    visitor.field("plain_service", values.m_plain_service, plain("Whether it is a plain service without models."));
    visitor.field("checks_fencing", values.m_checks_fencing,
                  plain("Whether it refuses orders with an old fencing number."));
    visitor.field("capacity", values.m_capacity, range("Requests that it runs at once.", "", 1, 4'096));
    visitor.field("queue", values.m_queue, range("Requests that may wait at the agent.", "", 0, 65'536));
    visitor.field("probe_ms", values.m_probe_ms, range("Time between state requests to it.", "ms", 10, 60'000));
}

template <typename Visitor>
auto visit(Visitor& visitor, distribution_settings& values) -> void {
    visitor.field("origin", values.m_origin, text("The origin of weights.", form::address));
    visitor.field("origin_region", values.m_origin_region, text("Region the origin stands in.", form::name));
    visitor.field("origin_copies", values.m_origin_copies,
                  range("Copies that may be read from the origin for one version.", "", 1, 4));
    visitor.field("upload_bytes_per_second", values.m_upload_bytes_per_second,
                  range("Rate of the instance's link, outwards.", "bytes/s", 1'000, bytes_max));
    visitor.field("download_bytes_per_second", values.m_download_bytes_per_second,
                  range("Rate of the instance's link, inwards.", "bytes/s", 1'000, bytes_max));
    visitor.field("region_link_bytes_per_second", values.m_region_link_bytes_per_second,
                  range("Rate of the link between two regions.", "bytes/s", 1'000, bytes_max));
    visitor.field("bulk_share", values.m_bulk_share, range("Share of a link that bulk may take.", "", 0.01, 1.0));
    visitor.field("parallel_fetches", values.m_parallel_fetches, range("Chunks fetched at once.", "", 1, 64));
    visitor.field("fetch_ms", values.m_fetch_ms, range("Time for one chunk.", "ms", 100, 3'600'000));
    visitor.field("held_bytes", values.m_held_bytes, range("Memory for chunks.", "bytes", 1'048'576, bytes_max));
    visitor.field("out_of_service_share", values.m_out_of_service_share,
                  range("Largest share of a group that a roll-out closes at once.", "", 0.01, 1.0));
}

template <typename Visitor>
auto visit(Visitor& visitor, routing_settings& values) -> void {
    visitor.field("report_ms", values.m_report_ms, range("Time between an agent's reports.", "ms", 50, 60'000));
    visitor.field("suspect_ms", values.m_suspect_ms,
                  range("Time without a report after which a backend server is suspected.", "ms", 100, 600'000));
    visitor.field("max_attempts", values.m_max_attempts, range("Attempts of one request.", "", 1, 10));
    visitor.field("retry_ratio", values.m_retry_ratio, range("Retries that one success earns.", "", 0.0, 1.0));
    visitor.field("bounded_load", values.m_bounded_load,
                  range("Load over the mean beyond which a prefix holder is passed over.", "", 1.0, 10.0));
    visitor.field("queue_ms", values.m_queue_ms, range("Longest wait for a backend server.", "ms", 0, 600'000));
    visitor.field("default_deadline_ms", values.m_default_deadline_ms,
                  range("Deadline of a request that names none.", "ms", 100, 3'600'000));
    visitor.field("quarantine_s", values.m_quarantine_s,
                  range("Time for which a request that crashes backend servers is held back.", "s", 1, 604'800));
}

template <typename Visitor>
auto visit(Visitor& visitor, execution_settings& values) -> void {
    visitor.field("shards", values.m_shards, range("Shards of the idempotency keys of a service.", "", 1, 4'096));
    visitor.field("lease_s", values.m_lease_s, range("Lease of a shard's owner.", "s", 2, 600));
    visitor.field("lease_margin_ms", values.m_lease_margin_ms,
                  range("Time before a lease's end from which its holder no longer trusts it.", "ms", 100, 60'000));
    visitor.field("retention_s", values.m_retention_s,
                  range("Time for which a key is remembered; older keys are refused.", "s", 10, 31'536'000));
    visitor.field("group_commit_ms", values.m_group_commit_ms,
                  range("Time for which claims are gathered into one write.", "ms", 0, 1'000));
    visitor.field("segment_bytes", values.m_segment_bytes,
                  range("Size at which a segment of the journal is sealed.", "bytes", 1'024, 1'000'000));
    visitor.field("answer_bytes", values.m_answer_bytes,
                  range("Largest answer kept in the journal.", "bytes", 0, 262'144));
}

template <typename Visitor>
auto visit(Visitor& visitor, drain_settings& values) -> void {
    visitor.field("entries_ttl_ms", values.m_entries_ttl_ms,
                  range("Time for which callers keep the entry addresses they got.", "ms", 100, 3'600'000));
    visitor.field("notice_ms", values.m_notice_ms,
                  range("Time after which no new work reaches a leaving backend server.", "ms", 0, 60'000));
}

template <typename Visitor>
auto visit(Visitor& visitor, settings& values) -> void {
    visitor.field("role", values.m_role, text("What the daemon does: `entry` or `agent`.", form::role, true));
    visitor.field("instance", values.m_instance, text("Name of this instance.", form::name, true));
    visitor.field("region", values.m_region, text("Its region.", form::name, true));
    visitor.field("data_centre", values.m_data_centre, text("Its data centre.", form::name, true));
    visitor.field("log_level", values.m_log_level, text("`debug`, `info`, `warn` or `error`.", form::level));
    visitor.group("listen", values.m_listen, plain("Addresses this process listens on.", true));
    visitor.group("limits", values.m_limits, plain("Limits of each listener."));
    visitor.group("platform", values.m_platform, plain("The platform's key-value service.", true));
    visitor.list("entries", values.m_entries, plain("All entry instances.", true));
    visitor.list("organisations", values.m_organisations, plain("Organisations whose callers are served."));
    visitor.list("operators", values.m_operators, plain("Operators who may write on the admin listener."));
    visitor.list("services", values.m_services, plain("Plain services that requests are steered to."));
    visitor.group("backend", values.m_backend, plain("The backend server beside an agent."));
    visitor.group("distribution", values.m_distribution, plain("Weight exchange."));
    visitor.group("routing", values.m_routing, plain("Routing, limits and retries."));
    visitor.group("execution", values.m_execution, plain("At-most-once execution."));
    visitor.group("drain", values.m_drain, plain("Planned stops."));
}

} // namespace rhubarbwharf::config::internal
