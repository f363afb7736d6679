#include <algorithm>
#include <iterator>

#include <gateway/placing.hpp>

namespace rhubarbwharf::gateway::internal {

auto requirements_of(const daemon& self, const exchange& item, const time_point now) -> dispatch::request_requirements {
    dispatch::request_requirements out{};
    out.m_prompt_tokens = item.m_prompt_tokens;
    out.m_tried_servers = item.m_tried_servers;
    out.m_allowed_regions = &item.m_allowed_regions;
    out.m_required_version = item.m_stream_started ? item.m_weights_version : 0U;
    if (item.m_service->m_engine && !item.m_model.empty()) {
        out.m_model = item.m_model;
        out.m_layers = item.m_service->m_engine->m_layer_count;
        out.m_min_version = node::min_allowed_version(self.m_core, item.m_model, now, node::version_margin);
        const auto relaxed_version =
            node::min_allowed_version(self.m_core, item.m_model, now, node::min_version_margin);
        const auto& backends = self.m_services.at(item.m_service->m_name).m_backends;
        if (relaxed_version < out.m_min_version && !dispatch::is_version_held(backends, out)) {
            out.m_min_version = relaxed_version;
        }
    }
    return out;
}

auto placement_options_for(const daemon& self, const exchange& item, const time_point now)
    -> dispatch::placement_options {
    constexpr double plain_service_excess_requests = 3.0;
    dispatch::placement_options out{};
    out.m_data_centre = self.m_core.m_self.m_data_centre;
    if (!item.m_service->m_engine) {
        out.m_max_excess_requests = plain_service_excess_requests;
        out.m_quota_only_slots = -plain_service_excess_requests;
    } else {
        out.m_gateway_count = self.m_gateway_count;
        out.m_quota_only_slots = static_cast<double>(item.m_service->m_engine->m_slots) * dispatch::quota_only_fraction;
        const auto kinds = item.m_service->m_route_priorities.size();
        const auto is_late = item.m_first_byte_deadline <= now && !item.m_stream_started && !item.m_attempt;
        const auto urgency = is_late && kinds > 0U ? static_cast<unsigned>(kinds) - 1U : item.m_urgency;
        out.m_max_excess_requests = dispatch::excess_of_urgency(urgency, kinds);
        out.m_divides_free_slots = kinds > 1U;
        out.m_max_excess_first_byte_ms =
            std::chrono::duration<double, std::milli>{item.m_first_byte_deadline - now}.count();
    }
    out.m_prefers_idle = !item.m_trial_parts.empty();
    return out;
}

auto free_slots_for_extra_work(const exchange& item) noexcept -> double {
    return item.m_service->m_engine
               ? static_cast<double>(item.m_service->m_engine->m_slots) * dispatch::rationed_slots_fraction
               : 1.0;
}

auto choose_backend(daemon& self, const exchange& item, const dispatch::placement_options& options,
                    const time_point now) -> std::optional<dispatch::choice> {
    const auto& backends = self.m_services[item.m_service->m_name].m_backends;
    std::vector<const dispatch::server_load*> views{};
    views.reserve(backends.size());
    std::ranges::transform(backends, std::back_inserter(views), [](const auto& each) { return each.get(); });
    const auto* const engine = item.m_service->m_engine ? &*item.m_service->m_engine : nullptr;
    return dispatch::choose_server(views, engine, requirements_of(self, item, now), options, self.m_core.m_random(),
                                   now);
}

auto choose_backend(daemon& self, const exchange& item, const time_point now) -> std::optional<dispatch::choice> {
    return choose_backend(self, item, placement_options_for(self, item, now), now);
}

auto has_eligible_backend(daemon& self, const exchange& item, const time_point now) -> bool {
    const auto requirements = requirements_of(self, item, now);
    return std::ranges::any_of(self.m_services[item.m_service->m_name].m_backends,
                               [&](const auto& each) { return dispatch::is_eligible(*each, requirements, now); });
}

auto lacks_allowed_region(daemon& self, const exchange& item, const time_point now) -> bool {
    auto requirements = requirements_of(self, item, now);
    requirements.m_allowed_regions = nullptr;
    return item.m_allowed_regions.m_is_restricted &&
           std::ranges::any_of(self.m_services[item.m_service->m_name].m_backends,
                               [&](const auto& each) { return dispatch::is_eligible(*each, requirements, now); });
}

} // namespace rhubarbwharf::gateway::internal
