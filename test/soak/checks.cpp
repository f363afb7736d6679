#include <soak/checks.hpp>

#include <algorithm>

#include <doctest/doctest.h>

namespace rhubarbwharf::soak {

auto check_configuration(const std::vector<daemon>& daemons, const std::uint64_t newest_version) -> void {
    process::threaded_http_client client{};
    for (const auto& each : daemons) {
        if (!each.is_gateway()) {
            continue;
        }
        const auto status_of = [&](const std::uint64_t version) {
            net::http_request probe{};
            probe.m_target = "/version/" + std::to_string(version) + "/x";
            probe.m_host = standin_site::host_name;
            probe.m_headers = {{"Authorization", "Bearer key-of-a"}, {"Rhubarbwharf-Attempt-Id", "a-probe"}};
            return client.start(each.m_caller_address, std::move(probe)).get().m_response.m_status;
        };
        const auto newest = status_of(newest_version);
        CHECK_MESSAGE((newest == 200U || newest == 503U), each.m_name << " answers " << newest
                                                                      << " on the route of configuration version "
                                                                      << newest_version);
        CHECK_MESSAGE(status_of(newest_version - 1U) == 404U, each.m_name << " still routes by an older configuration");
    }
}

auto check_executions(const client_statistics& statistics, const standin_site::site_observations& observations)
    -> void {
    for (const auto& each : statistics.m_refused_attempts) {
        const auto ran = observations.m_executions.find(each);
        const auto is_at_most_once =
            std::ranges::find(statistics.m_at_most_once_attempts, each) != statistics.m_at_most_once_attempts.end();
        CHECK_MESSAGE((!is_at_most_once || ran == observations.m_executions.end()), "refused, but ran: " << each);
    }
    for (const auto& each : statistics.m_at_most_once_attempts) {
        const auto ran = observations.m_executions.find(each);
        CHECK_MESSAGE((ran == observations.m_executions.end() || ran->second <= 1U), "ran twice: " << each);
    }
    for (const auto& line : observations.m_violations.m_lines) {
        FAIL_CHECK(line);
    }
}

} // namespace rhubarbwharf::soak
