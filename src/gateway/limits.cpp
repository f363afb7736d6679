#include <algorithm>
#include <string_view>
#include <vector>

#include <gateway/limits.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

[[nodiscard]] auto region_of(const daemon& self, const std::string_view data_centre) -> std::string_view {
    const auto found = std::ranges::find_if(self.m_core.m_members, [data_centre](const auto& each) {
        return each.second.m_member.m_data_centre == data_centre;
    });
    return found == self.m_core.m_members.end() ? std::string_view{} : found->second.m_member.m_region;
}

/*! @brief Lists the gateways that may hold a share in the limit of a backend server. */
[[nodiscard]] auto list_limit_gateways(daemon& self, const dispatch::server_load& backend, const time_point now)
    -> std::vector<std::string_view> {
    const auto region = region_of(self, backend.m_data_centre);
    const auto is_in_region = [&](const auto& each) {
        return region_of(self, each->m_data_centre) == region;
    };
    const auto is_only_region = std::ranges::all_of(self.m_services[backend.m_service].m_backends, is_in_region);
    return fleet::list_limit_gateways(self.m_core.m_members, region, is_only_region, now);
}

} // namespace

} // namespace internal

auto on_limit_header(daemon& self, const dispatch::server_load& backend, const net::http_response& head,
                     const time_point sent_at) -> void {
    const auto text = net::find(head.m_headers, adapter::field::server_limit);
    const auto named = text.empty() ? std::optional{fleet::no_limit} : adapter::decode_server_limit(text);
    if (!named) {
        self.m_core.m_events.write("server.limit_malformed",
                                   {{"server", backend.m_id}, {"value", text.substr(0U, 40U)}});
        return;
    }
    node::note_server_limit(self.m_core, backend.m_id, {backend.m_started_ms, *named, steady_now()}, sent_at);
}

auto update_turns(daemon& self, dispatch::server_load& backend) -> void {
    const auto per_s = fleet::limit_of(self.m_core.m_server_limits, backend.m_id, backend.m_started_ms);
    if (per_s == fleet::no_limit) {
        backend.m_turns.reset();
        return;
    }
    const auto now = steady_now();
    if (!backend.m_turns) {
        backend.m_turns = dispatch::turn_share{0.0, 0.0, now};
    }
    const auto gateways = internal::list_limit_gateways(self, backend, now);
    const auto age = now - self.m_core.m_server_limits.find(backend.m_id)->second.m_as_of;
    const auto own_per_s = dispatch::divide_limit(gateways, self.m_core.m_self.m_instance, {backend.m_id, per_s, age});
    if (backend.m_turns->m_per_s != own_per_s) {
        self.m_core.m_events.write("server.limit_share", {{"server", backend.m_id},
                                                          {"per_s", per_s},
                                                          {"own_per_s", own_per_s},
                                                          {"gateways", static_cast<std::int64_t>(gateways.size())}});
    }
    dispatch::set_rate(*backend.m_turns, own_per_s, now);
}

auto update_all_turns(daemon& self) -> void {
    double limited{};
    for (const auto& [id, backend] : self.m_backends) {
        update_turns(self, *backend);
        limited += backend->m_turns ? 1.0 : 0.0;
    }
    self.m_core.m_counters.set("servers_limited", limited);
}

} // namespace rhubarbwharf::gateway
