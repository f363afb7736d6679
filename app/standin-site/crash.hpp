#pragma once

#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::standin_site {

/*! @brief Crashes that the runners of a site undergo, and how long each one lasts. */
struct crash_faults {
    /*! @brief Ids of parts of a prompt that crash each runner that begins to write an answer on them. */
    std::set<std::string> m_crash_parts{};
    /*! @brief Body of requests that crash each server that begins to run them; empty for none. */
    std::string m_crash_body{};
    /*! @brief Events that a runner sends of its answer to such a request before it crashes. */
    unsigned m_crash_after_events{};
    /*! @brief Time after which a crashed runner is back at its address, with a new id and without weights. */
    duration m_down_time{std::chrono::milliseconds{1'500}};
    /*! @brief Time after which the entry of a crashed runner leaves the store. */
    duration m_entry_time{std::chrono::milliseconds{300}};
};

/*! @brief Arrival of a request with a prompt at a runner, or its first event there. */
struct prompt_event {
    time_point m_at{};
    std::string m_attempt{};
    std::string m_organisation{};
    /*! @brief Ids of the parts of the prompt except the last one, which belongs to the request itself. */
    std::vector<std::string> m_parts{};
    /*! @brief Whether the attempt had not been at another server before. */
    bool m_is_first_arrival{};
};

/*! @brief Crash of a server. */
struct crash {
    time_point m_at{};
    std::string m_server{};
    /*! @brief Part or body that caused it; empty if no request did. */
    std::string m_part{};
    /*! @brief Attempts that the server held. */
    std::vector<std::string> m_held_attempts{};
};

/*! @brief Crashes of a site, and requests with prompts at its runners, in the order of time. */
struct crash_observations {
    std::vector<crash> m_crashes{};
    std::vector<prompt_event> m_arrivals{};
    std::vector<prompt_event> m_begins{};
};

/*! @brief Returns the ids in a list of ID:TOKENS entries, except the last one. */
[[nodiscard]] auto shared_parts(std::string_view prompt_prefix) -> std::vector<std::string>;

/*! @brief Describes a request that a server received. */
[[nodiscard]] auto make_prompt_event(const net::http_request& request, bool is_first_arrival) -> prompt_event;

/*! @brief Returns the first part that crashes a runner; empty if none does. */
[[nodiscard]] auto find_crash_part(const crash_faults& faults, const prompt_event& request) -> std::string;

} // namespace rhubarbwharf::standin_site
