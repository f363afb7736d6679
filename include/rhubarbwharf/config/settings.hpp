#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include <rhubarbwharf/config/fwd.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::config {

/*! @brief What a daemon does. */
enum class role : std::uint8_t { entry, agent };

/*! @brief Addresses this process listens on, as `ADDRESS:PORT`; empty where its role has no such listener. */
struct listen_settings {
    /*! @brief Callers' HTTP listener; entries only. */
    std::string m_callers{};
    /*! @brief Admin HTTP listener. */
    std::string m_admin{};
    /*! @brief Messages between the system's processes. */
    std::string m_bus{};
    /*! @brief Weight exchange over HTTP; agents only. */
    std::string m_bulk{};
};

/*! @brief Limits of each HTTP listener and of the bus. */
struct limit_settings {
    std::uint32_t m_header_bytes{16U * 1024U};
    std::uint32_t m_body_bytes{4U * 1024U * 1024U};
    std::uint32_t m_connections{4096};
    std::uint32_t m_request_ms{10'000};
    std::uint32_t m_idle_ms{60'000};
    std::uint32_t m_send_queue_bytes{1024U * 1024U};
    std::uint32_t m_message_bytes{8U * 1024U * 1024U};
    std::uint32_t m_queue_messages{4096};
};

/*! @brief The platform's key-value service. */
struct platform_settings {
    std::vector<std::string> m_addresses{};
    double m_reads_per_second{20.0};
    double m_writes_per_second{10.0};
    std::uint32_t m_call_ms{2'000};
    /*! @brief Whether this process watches the desired state itself; the others learn it from their peers. */
    bool m_watch{true};
};

/*! @brief An entry instance, as the other processes reach it. */
struct entry_settings {
    std::string m_instance{};
    std::string m_region{};
    std::string m_data_centre{};
    std::string m_bus{};
    std::string m_callers{};
};

/*! @brief Someone who may use the callers' or the admin listener. */
struct key_settings {
    std::string m_name{};
    digest m_key_sha256{};
    /*! @brief Weight of the fair share; callers only. */
    double m_weight{1.0};
};

/*! @brief A plain service that requests are steered to. */
struct service_settings {
    std::string m_name{};
    /*! @brief Operations as `METHOD /path`, of which each call may run at most once. */
    std::vector<std::string> m_non_idempotent{};
};

/*! @brief The backend server beside an agent. */
struct backend_settings {
    std::string m_address{};
    /*! @brief Group of model runners, or name of the plain service. */
    std::string m_group{};
    bool m_plain_service{false};
    /*! @brief Whether the backend server refuses orders with an old fencing number. */
    bool m_checks_fencing{true};
    std::uint32_t m_capacity{16};
    std::uint32_t m_queue{64};
    /*! @brief Time within which the backend server must answer a state request. */
    std::uint32_t m_probe_ms{1'000};
};

/*! @brief Weight exchange. */
struct distribution_settings {
    /*! @brief Address of the origin of weights. */
    std::string m_origin{};
    /*! @brief Region the origin stands in. */
    std::string m_origin_region{};
    /*! @brief Copies that may be read from the origin for one version. */
    std::uint32_t m_origin_copies{1};
    std::uint64_t m_upload_bytes_per_second{100'000'000};
    std::uint64_t m_download_bytes_per_second{100'000'000};
    /*! @brief Rate of the link between each pair of regions. */
    std::uint64_t m_region_link_bytes_per_second{3'125'000};
    /*! @brief Share of each link that bulk may take. */
    double m_bulk_share{0.9};
    std::uint32_t m_parallel_fetches{4};
    std::uint32_t m_fetch_ms{10'000};
    std::uint64_t m_held_bytes{512U * 1024U * 1024U};
    /*! @brief Largest share of a group that a roll-out takes out of service at once. */
    double m_out_of_service_share{0.34};
};

/*! @brief Routing, limits and retries. */
struct routing_settings {
    std::uint32_t m_report_ms{1'000};
    /*! @brief Time without a report after which a backend server is suspected. */
    std::uint32_t m_suspect_ms{3'000};
    std::uint32_t m_max_attempts{3};
    /*! @brief Retries that one success earns. */
    double m_retry_ratio{0.1};
    /*! @brief Load of a prefix holder over the mean beyond which it is passed over. */
    double m_bounded_load{1.25};
    std::uint32_t m_queue_ms{500};
    std::uint32_t m_default_deadline_ms{60'000};
    std::uint32_t m_quarantine_s{600};
};

/*! @brief At-most-once execution. */
struct execution_settings {
    std::uint32_t m_shards{16};
    std::uint32_t m_lease_s{10};
    /*! @brief Time before a lease's end from which its holder no longer trusts it. */
    std::uint32_t m_lease_margin_ms{2'000};
    /*! @brief Time for which a key is remembered; older keys are refused. */
    std::uint32_t m_retention_s{86'400};
    std::uint32_t m_group_commit_ms{5};
    std::uint32_t m_segment_bytes{65'536};
    std::uint32_t m_answer_bytes{1'024};
};

/*! @brief Planned stops. */
struct drain_settings {
    /*! @brief Time for which callers keep the entry addresses they got. */
    std::uint32_t m_entries_ttl_ms{5'000};
    /*! @brief Time after which no new work reaches a leaving backend server. */
    std::uint32_t m_notice_ms{2'000};
};

/*! @brief All settings of one daemon. */
struct settings {
    role m_role{role::entry};
    std::string m_instance{};
    std::string m_region{};
    std::string m_data_centre{};
    std::string m_log_level{"info"};
    listen_settings m_listen{};
    limit_settings m_limits{};
    platform_settings m_platform{};
    std::vector<entry_settings> m_entries{};
    std::vector<key_settings> m_organisations{};
    std::vector<key_settings> m_operators{};
    std::vector<service_settings> m_services{};
    backend_settings m_backend{};
    distribution_settings m_distribution{};
    routing_settings m_routing{};
    execution_settings m_execution{};
    drain_settings m_drain{};
};

} // namespace rhubarbwharf::config
