#pragma once

#include <cstdint>
#include <span>
#include <string_view>

#include <rhubarbwharf/core/fwd.hpp>

namespace rhubarbwharf {

/**
 * @brief Numbered result codes. docs/RESULT_CODES.md holds the table; a test keeps both alike.
 *
 * Hundreds: 0 success, 1 callers' requests, 2 routing and limits, 3 execution, 4 tickets, 5 distribution,
 * 6 platform, 7 settings, 8 connections between processes.
 */
enum class code : std::uint16_t {
    ok = 0,

    bad_request = 100,
    unauthorised = 101,
    not_found = 102,
    too_large = 103,
    unknown_model = 104,
    method_not_allowed = 105,
    slow_sender = 106,

    no_backend_server = 200,
    over_share = 201,
    overloaded = 202,
    deadline_passed = 203,
    quarantined = 204,
    draining = 205,
    wrong_version = 206,
    stale_ticket = 207,
    cut_stream = 208,
    backend_server_failed = 209,
    cancelled = 210,

    key_missing = 300,
    key_expired = 301,
    key_reused = 302,
    outcome_unknown = 303,
    not_owner = 304,
    journal_unavailable = 305,
    refused_late = 306,
    fenced = 307,
    in_progress = 308,

    ticket_conflict = 400,
    ticket_malformed = 401,
    scope_unknown = 402,
    state_too_large = 403,

    digest_mismatch = 500,
    manifest_malformed = 501,
    chunk_unavailable = 502,
    incomplete = 503,
    load_failed = 504,

    platform_unavailable = 600,
    compare_failed = 601,
    rate_limited = 602,
    lease_lost = 603,

    settings_unreadable = 700,
    settings_syntax = 701,
    settings_unknown_key = 702,
    settings_type = 703,
    settings_range = 704,
    settings_missing_key = 705,

    connection_failed = 800,
    timed_out = 801,
    malformed_frame = 802,
    wrong_protocol = 803,
    send_queue_full = 804,
};

/*! @brief What a refusal says about the effect of a call. */
enum class outcome : std::uint8_t {
    /*! @brief The call did not run and never will under this request. */
    not_run,
    /*! @brief The call may have run, or may still run. */
    unknown,
};

/*! @brief One row of the table of result codes. */
struct code_info {
    code m_code{};
    std::string_view m_name{};
    /*! @brief HTTP status that callers get with this code. */
    std::uint16_t m_http_status{};
    std::string_view m_meaning{};
};

/**
 * @brief Returns the table of result codes.
 * @return All rows, by ascending number.
 */
[[nodiscard]] auto code_table() noexcept -> std::span<const code_info>;

/**
 * @brief Looks a result code up.
 * @param value Any enumerator.
 * @return Its row; that of `code::bad_request` if the number is not in the table.
 */
[[nodiscard]] auto describe(code value) noexcept -> const code_info&;

/**
 * @brief Returns the wire form of an outcome.
 * @param value The outcome.
 * @return `not_run` or `unknown`.
 */
[[nodiscard]] auto to_string(outcome value) noexcept -> std::string_view;

} // namespace rhubarbwharf
