#include <algorithm>
#include <string_view>
#include <vector>

#include <gateway/limits.hpp>
#include <platform/decode.hpp>
#include <platform/names.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Lists the gateways that may hold a share in the limit of a backend server. */
[[nodiscard]] auto list_limit_gateways(daemon& self, const dispatch::server_load& backend, const time_point now)
    -> std::vector<std::string_view> {
    const auto& region = backend.m_region;
    const auto is_in_region = [&](const auto& each) {
        return each->m_region == region;
    };
    const auto is_only_region = std::ranges::all_of(self.m_services[backend.m_service].m_backends, is_in_region);
    return fleet::list_limit_gateways(self.m_core.m_members, region, is_only_region, now);
}

/*! @brief Returns what a backend server's state allows: its rate while it is cold, or the limit that it has named. */
[[nodiscard]] auto lowest_limit(const daemon& self, const dispatch::server_load& backend, const time_point now)
    -> dispatch::named_limit {
    const auto& limits = self.m_core.m_server_limits;
    const auto named = fleet::limit_of(limits, backend.m_id, backend.m_started_ms);
    const auto cold = dispatch::cold_rate(backend.m_warm_up, warm_up_terms_of(self, backend.m_service), now);
    if (cold < named) {
        const auto& bounds = self.m_core.m_settings.m_bounds;
        const auto tolerated = cold * bounds.m_cold_over + bounds.m_cold_slack;
        return {backend.m_id, cold, duration::zero(), dispatch::saved_turns_of_cold_server(cold, tolerated)};
    }
    const auto age = named == fleet::no_limit ? duration::zero() : now - limits.find(backend.m_id)->second.m_as_of;
    return {backend.m_id, named, age};
}

} // namespace

} // namespace internal

auto warm_up_terms_of(const daemon& self, const std::string_view service) -> fleet::warm_up_terms {
    const auto* const found =
        self.m_core.m_configuration ? fleet::find_service(*self.m_core.m_configuration, service) : nullptr;
    return found == nullptr ? fleet::warm_up_terms{} : found->m_warm_up;
}

auto begin_warm_up(daemon& self, dispatch::server_load& backend) -> void {
    const auto terms = warm_up_terms_of(self, backend.m_service);
    if (terms.m_per_s <= 0.0) {
        return;
    }
    dispatch::note_possible_start(backend.m_warm_up, terms, steady_now());
    update_turns(self, backend);
    if (backend.m_turns) {
        dispatch::grant_first_turn(*backend.m_turns);
    }
}

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
    const auto now = steady_now();
    const auto limit = internal::lowest_limit(self, backend, now);
    if (limit.m_per_s == fleet::no_limit) {
        backend.m_turns.reset();
        return;
    }
    if (!backend.m_turns) {
        backend.m_turns = dispatch::turn_share{0.0, 0.0, now};
    }
    const auto gateways = internal::list_limit_gateways(self, backend, now);
    const auto own_per_s = dispatch::divide_limit(gateways, self.m_core.m_self.m_instance, limit);
    if (backend.m_turns->m_per_s != own_per_s) {
        self.m_core.m_events.write("server.limit_share", {{"server", backend.m_id},
                                                          {"per_s", limit.m_per_s},
                                                          {"cold", limit.m_saved_turns.has_value()},
                                                          {"own_per_s", own_per_s},
                                                          {"gateways", static_cast<std::int64_t>(gateways.size())}});
    }
    dispatch::set_rate(*backend.m_turns, own_per_s, now);
}

auto update_all_turns(daemon& self) -> void {
    const auto now = steady_now();
    double limited{};
    double cold{};
    for (const auto& [id, backend] : self.m_backends) {
        update_turns(self, *backend);
        limited += backend->m_turns ? 1.0 : 0.0;
        cold += now < backend->m_warm_up.m_cold_until ? 1.0 : 0.0;
    }
    self.m_core.m_counters.set("servers_cold", cold);
    self.m_core.m_counters.set("servers_limited", limited);
}

} // namespace rhubarbwharf::gateway
