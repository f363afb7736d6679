#include <soak/losses.hpp>

#include <algorithm>
#include <sstream>

namespace rhubarbwharf::soak {

namespace {

using standin_site::stay_end;
using stays = std::vector<std::shared_ptr<standin_site::arrival>>;

/*! @brief Time after the last byte of a request within which the close of its connection may cross it. */
constexpr duration loss_slack = std::chrono::milliseconds{200};

[[nodiscard]] auto to_ms(const duration time) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

[[nodiscard]] auto was_disturbed(const suspect_request& request, const daemon& gateway) -> bool {
    return std::ranges::any_of(gateway.m_disturbances, [&](const disturbance& each) {
        return each.m_from <= request.m_ended_at && each.m_to >= request.m_sent_at;
    });
}

/*! @brief Checks whether a server broke off the response, and no other one held the request after that. */
[[nodiscard]] auto was_broken_off(const stays& at_servers) -> bool {
    time_point broken_off_at{};
    for (const auto& each : at_servers) {
        broken_off_at = each->m_end == stay_end::broke_off ? std::max(broken_off_at, each->m_ended_at) : broken_off_at;
    }
    return broken_off_at != time_point{} && std::ranges::none_of(at_servers, [&](const auto& each) {
               return each->m_end != stay_end::refused && each->m_ended_at > broken_off_at;
           });
}

[[nodiscard]] auto describe(const suspect_request& request, const std::string& gateway, const stays& at_servers)
    -> std::string {
    std::ostringstream out{};
    out << (request.m_is_late ? "LATE: " : "LOST: ") << request.m_attempt << " at " << gateway << ", sent at "
        << to_ms(request.m_sent_at.time_since_epoch()) << " ms, ended after "
        << to_ms(request.m_ended_at - request.m_sent_at) << " ms" << (request.m_had_head ? ", had a head" : "");
    for (const auto& each : at_servers) {
        out << "; at " << each->m_server << " after " << to_ms(each->m_arrived_at - request.m_sent_at) << " ms, "
            << to_string(each->m_end);
        if (each->m_end != stay_end::held) {
            out << " after " << to_ms(each->m_ended_at - request.m_sent_at) << " ms";
        }
    }
    return out.str();
}

} // namespace

auto find_losses(const client_statistics& statistics, const std::vector<daemon>& daemons, standin_site::site& platform,
                 const duration shortest_timeout) -> loss_report {
    standin_site::arrivals arrived{};
    platform.run_in_loop([&](standin_site::site& site) { arrived = site.observations().m_stays; });
    loss_report out{};
    for (const auto& each : statistics.m_suspects) {
        const auto gateway = std::ranges::find(daemons, each.m_gateway, &daemon::m_caller_address);
        const auto& at_servers = arrived[each.m_attempt];
        const auto took = each.m_ended_at - each.m_sent_at;
        if (was_disturbed(each, *gateway)) {
            ++out.m_disturbed;
        } else if (!each.m_is_late && at_servers.empty() && took <= loss_slack) {
            ++out.m_crossed;
        } else if (!each.m_is_late && was_broken_off(at_servers)) {
            ++out.m_broken_off;
        } else if (!each.m_is_late && each.m_had_head && took >= shortest_timeout) {
            ++out.m_timed_out;
        } else {
            out.m_lines.push_back(describe(each, gateway->m_name, at_servers));
        }
    }
    return out;
}

} // namespace rhubarbwharf::soak
