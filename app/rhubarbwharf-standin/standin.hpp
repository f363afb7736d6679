#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

/**
 * @brief Test doubles for the external services: inference engine, ledger, platform and weight origin.
 */
namespace rhubarbwharf::standin {

/*! @brief Command-line options of all roles. */
struct options {
    std::string m_role{};
    net::endpoint m_listen{};

    std::uint32_t m_capacity{8};
    /*! @brief Duration of one batch step, in which a request emits one token or advances its prefill. */
    duration m_decode_step_time{std::chrono::milliseconds{5}};
    /*! @brief Prefill time per started kilobyte of a prompt whose prefix is not cached. */
    duration m_prefill_time_per_kilobyte{std::chrono::milliseconds{10}};
    std::size_t m_prefix_cache_capacity{32};
    /*! @brief Delay after which cache reports and changes to the list of instances become visible. */
    duration m_report_delay{std::chrono::seconds{2}};
    bool m_ignore_fencing{};

    /*! @brief Duration of one ledger call. */
    duration m_call_duration{std::chrono::milliseconds{2}};

    double m_reads_per_second{2000.0};
    double m_writes_per_second{400.0};

    /*! @brief Comma-separated list of `NAME:VERSION:SIZE`; the size is in bytes. */
    std::string m_versions{};
    std::size_t m_chunk_bytes{256UL * 1024UL};
    /*! @brief Number of leading chunks that all versions of a model share. */
    std::size_t m_shared_chunks{};
    /*! @brief Outgoing bandwidth of the origin in bytes per second; 0 for no limit. */
    double m_bytes_per_second{};
};

/*! @brief Fault to inject. */
struct fault {
    std::string m_kind{};
    /*! @brief Number of requests still to be affected, 0 for all until cleared; for `restore`, the writes to undo. */
    std::uint64_t m_count{};
    duration m_duration{};
    /*! @brief Substring that the target or the body of an affected request contains; empty matches all requests. */
    std::string m_pattern{};
};

/*! @brief Faults that are active in this process. */
struct fault_table {
    std::vector<fault> m_active{};
    /*! @brief All requests are aborted before this time. */
    time_point m_down_until{};
    /*! @brief Called with each fault that is set, and with kind `crashed` when the role must reset itself. */
    std::function<void(const fault&)> m_on_set{};
};

/**
 * @brief Finds an active fault that matches a request and decrements its count; removes it when the count reaches zero.
 * @return A copy of the fault, or nothing if none matches.
 */
[[nodiscard]] auto consume_fault(fault_table& faults, std::string_view kind, const net::http_request& request)
    -> std::optional<fault>;

/**
 * @brief Finds an active fault by its kind without changing its count.
 * @return The fault, owned by the table, or null.
 */
[[nodiscard]] auto find_fault(const fault_table& faults, std::string_view kind) -> const fault*;

/**
 * @brief Wraps the handler of a role: serves `POST /fault` and applies active faults to all other requests.
 * @param owner The event loop; must outlive the returned handler.
 */
[[nodiscard]] auto with_faults(net::loop& owner, const std::shared_ptr<fault_table>& faults,
                               const net::http_handler& inner) -> net::http_handler;

/*! @brief Makes a response with a JSON body. */
[[nodiscard]] auto json_response(std::uint16_t status, const boost::json::value& value) -> net::http_response;

/*! @brief Parses a JSON object. @return The object; empty if the text is not a valid JSON object. */
[[nodiscard]] auto parse_object(std::string_view text) -> boost::json::object;

/*! @brief Returns a string member; empty if it is missing or not a string. */
[[nodiscard]] auto string_member(const boost::json::object& object, std::string_view name) -> std::string;

/**
 * @brief Reads an integer member that is encoded as a number or, as in etcd's JSON, as a string.
 * @return The integer; the fallback if the member is missing or of another type.
 */
[[nodiscard]] auto integer_member(const boost::json::object& object, std::string_view name, std::int64_t fallback = 0)
    -> std::int64_t;

/*! @brief Creates the request handler of the role `engine`. */
[[nodiscard]] auto make_engine(net::loop& owner, net::http_client& http, const options& settings,
                               const std::shared_ptr<fault_table>& faults) -> net::http_handler;
/*! @brief Creates the request handler of the role `ledger`. */
[[nodiscard]] auto make_ledger(net::loop& owner, const options& settings) -> net::http_handler;
/*! @brief Creates the request handler of the role `platform`. */
[[nodiscard]] auto make_platform(net::loop& owner, const options& settings, const std::shared_ptr<fault_table>& faults)
    -> net::http_handler;
/*! @brief Creates the request handler of the role `origin`. */
[[nodiscard]] auto make_origin(net::loop& owner, const options& settings) -> net::http_handler;

} // namespace rhubarbwharf::standin
