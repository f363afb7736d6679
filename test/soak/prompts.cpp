#include <soak/prompts.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <sstream>
#include <unordered_map>

namespace rhubarbwharf::soak {

namespace {

/*! @brief Time after a disturbance in which a gateway may still act on what it knew before. */
constexpr duration recovery_time = std::chrono::seconds{3};
/*! @brief Crashes of one part by which every gateway is to know it. */
constexpr std::size_t crashes_to_learn = 5U;
constexpr duration arrivals_notice = std::chrono::seconds{3};
/*! @brief Requests with a guilty part that may reach runners after that. */
constexpr std::size_t allowed_arrivals = 3U;
/*! @brief Time after the last of these crashes from which sound requests are to be served. */
constexpr duration service_notice = std::chrono::seconds{6};
/*! @brief Requests from which a share is compared. */
constexpr std::size_t fewest_requests = 20U;
/*! @brief Time limit of a version in the settings of the fleet. */
constexpr duration version_limit = std::chrono::milliseconds{6'000};

/*! @brief What the checks need: who sent the prompts, what was disturbed, and what the runners saw. */
struct prompt_records {
    const std::vector<sent_prompt>& m_sent;
    const std::vector<daemon>& m_daemons;
    const prompt_troubles& m_troubles;
    standin_site::crash_observations m_observed{};
    std::vector<standin_site::version_begin> m_version_begins{};
};

using senders = std::unordered_map<std::string, const daemon*>;

[[nodiscard]] auto find_senders(const prompt_records& records) -> senders {
    senders out{};
    for (const auto& each : records.m_sent) {
        out[each.m_attempt] = &*std::ranges::find(records.m_daemons, each.m_gateway, &daemon::m_caller_address);
    }
    return out;
}

[[nodiscard]] auto to_ms(const duration time) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

[[nodiscard]] auto lasted_until(const std::vector<disturbance>& record, const time_point at) -> bool {
    return std::ranges::any_of(
        record, [at](const disturbance& each) { return each.m_from <= at && each.m_to >= at - recovery_time; });
}

[[nodiscard]] auto was_cut(const prompt_records& records, const daemon& gateway, const time_point at) -> bool {
    return lasted_until(gateway.m_cuts, at) || lasted_until(records.m_troubles.m_store_cuts, at);
}

[[nodiscard]] auto was_frozen(const daemon& gateway, const time_point at) -> bool {
    std::vector<disturbance> freezes{};
    std::ranges::copy_if(gateway.m_disturbances, std::back_inserter(freezes), &disturbance::m_is_frozen);
    return lasted_until(freezes, at);
}

[[nodiscard]] auto has_part(const std::vector<std::string>& parts, const std::string& part) -> bool {
    return std::ranges::find(parts, part) != parts.end();
}

/*! @brief Returns the first crashes by a part, up to the one by which it is to be known. */
[[nodiscard]] auto first_crashes(const prompt_records& records, const std::string& part) -> std::vector<time_point> {
    std::vector<time_point> out{};
    for (const auto& each : records.m_observed.m_crashes) {
        if (each.m_part == part && out.size() < crashes_to_learn) {
            out.push_back(each.m_at);
        }
    }
    return out;
}

auto check_arrivals(const guilty_time& guilt, const time_point known_at, const prompt_records& records,
                    const senders& sent_by, prompt_report& report) -> void {
    std::ostringstream late{};
    std::size_t count{};
    for (const auto& each : records.m_observed.m_arrivals) {
        if (each.m_at > known_at + arrivals_notice && each.m_at < guilt.m_to && has_part(each.m_parts, guilt.m_part) &&
            !was_cut(records, *sent_by.at(each.m_attempt), each.m_at) &&
            !lasted_until(sent_by.at(each.m_attempt)->m_disturbances, each.m_at)) {
            ++count;
            late << ' ' << each.m_attempt << " by " << sent_by.at(each.m_attempt)->m_name << " after "
                 << to_ms(each.m_at - known_at) << " ms,";
        }
    }
    if (count > allowed_arrivals) {
        report.m_lines.push_back("GUILTY: " + std::to_string(count) + " requests with " + guilt.m_part +
                                 " reached runners later than 3 s after its fifth crash:" + late.str());
    }
}

/*! @brief Requests sent in some time, and how many of them began at their first runner. */
struct service {
    std::size_t m_sent{};
    std::size_t m_begun{};
};

template <typename Predicate>
[[nodiscard]] auto measure_service(const prompt_records& records, const std::set<std::string>& begun,
                                   const time_point from, const time_point to, const Predicate is_counted) -> service {
    service out{};
    for (const auto& each : records.m_sent) {
        if (each.m_sent_at >= from && each.m_sent_at < to && is_counted(each)) {
            ++out.m_sent;
            out.m_begun += begun.contains(each.m_attempt) ? 1U : 0U;
        }
    }
    return out;
}

auto check_service(const guilty_time& guilt, const time_point known_at, const prompt_records& records,
                   prompt_report& report) -> void {
    std::set<std::string> begun{};
    for (const auto& each : records.m_observed.m_begins) {
        if (each.m_is_first_arrival) {
            begun.insert(each.m_attempt);
        }
    }
    for (const auto by_key : {true, false}) {
        const auto is_counted = [&](const sent_prompt& each) {
            return !each.m_parts.empty() && !has_part(each.m_parts, guilt.m_part) &&
                   (by_key ? each.m_attempt.front() == guilty_key : each.m_parts.front() == guilty_first_part);
        };
        const auto before = measure_service(records, begun, guilt.m_calm_from, guilt.m_from, is_counted);
        const auto after = measure_service(records, begun, known_at + service_notice, guilt.m_to, is_counted);
        if (before.m_sent < fewest_requests || after.m_sent < fewest_requests) {
            continue;
        }
        ++report.m_checked_services;
        if (2U * after.m_begun * before.m_sent < before.m_begun * after.m_sent) {
            std::ostringstream line{};
            line << "UNSERVED: beside " << guilt.m_part << " began " << after.m_begun << " of " << after.m_sent
                 << " sound requests with its " << (by_key ? "key" : "first part") << ", before the trouble "
                 << before.m_begun << " of " << before.m_sent;
            report.m_lines.push_back(line.str());
        }
    }
}

auto check_guilty_times(const prompt_records& records, const senders& sent_by, prompt_report& report) -> void {
    report.m_crashes = records.m_observed.m_crashes.size();
    for (const auto& each : records.m_troubles.m_guilty_times) {
        const auto crashes = first_crashes(records, each.m_part);
        if (crashes.size() == crashes_to_learn) {
            report.m_checked_parts += crashes.back() + arrivals_notice < each.m_to ? 1U : 0U;
            check_arrivals(each, crashes.back(), records, sent_by, report);
        }
        if (!crashes.empty() && each.m_calm_from != time_point{}) {
            check_service(each, crashes.back(), records, report);
        }
    }
}

auto check_versions(const prompt_records& records, const senders& sent_by, prompt_report& report) -> void {
    const auto& named_at = records.m_troubles.m_named_at;
    for (const auto& each : records.m_version_begins) {
        const auto newer = named_at.upper_bound(each.m_version);
        if (newer == named_at.end() || each.m_at <= newer->second || each.m_is_resumed) {
            continue;
        }
        ++report.m_older_begins;
        const auto age = each.m_at - newer->second;
        if (age <= version_limit) {
            continue;
        }
        const auto& gateway = *sent_by.at(each.m_attempt);
        if (was_frozen(gateway, each.m_at) || was_cut(records, gateway, each.m_at)) {
            ++report.m_excused_begins;
            continue;
        }
        std::ostringstream line{};
        line << "OLD: " << each.m_attempt << " by " << gateway.m_name << " began on version " << each.m_version
             << " at " << each.m_server << ' ' << to_ms(age) << " ms after version " << newer->first << " was named";
        report.m_lines.push_back(line.str());
    }
}

} // namespace

auto find_prompt_faults(const client_statistics& statistics, const std::vector<daemon>& daemons,
                        standin_site::site& platform, const prompt_troubles& troubles) -> prompt_report {
    prompt_records records{statistics.m_prompts, daemons, troubles};
    platform.run_in_loop([&](standin_site::site& site) {
        records.m_observed = site.observations().m_prompts;
        records.m_version_begins = site.observations().m_version_begins;
    });
    const auto sent_by = find_senders(records);
    prompt_report out{};
    check_guilty_times(records, sent_by, out);
    check_versions(records, sent_by, out);
    return out;
}

} // namespace rhubarbwharf::soak
