#include <agent/gate.hpp>

#include <array>

#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::size_t fingerprint_digits = 16;

auto close(gate& state, const phase next) -> void {
    state.m_phase = next;
    ++state.m_generation;
}

auto open(gate& state, const version& confirmed, const ticket_number ticket) -> void {
    ensure(state.m_plain_service || confirmed.m_manifest != digest{}, "the gate opens only for a whole version");
    ensure(!state.m_load_in_progress, "the gate is closed while the engine loads");
    state.m_confirmed_version = confirmed;
    state.m_ticket = ticket;
    state.m_phase = phase::serving;
    ++state.m_generation;
}

[[nodiscard]] auto role_of(const version& candidate) -> std::string_view {
    return candidate.m_role.empty() ? std::string_view{"serve"} : std::string_view{candidate.m_role};
}

[[nodiscard]] auto matches_target(const gate& state, const version& candidate) -> bool {
    if (!state.m_target) {
        return false;
    }
    const auto& wanted = state.m_target->m_version;
    if (wanted.m_manifest == digest{}) {
        return true;
    }
    return candidate.m_manifest == wanted.m_manifest && candidate.m_adapter == wanted.m_adapter &&
           role_of(candidate) == role_of(wanted);
}

[[nodiscard]] auto has_version(const engine_state& reported) -> bool {
    return reported.m_version.m_manifest != digest{} && reported.m_version.m_content != digest{};
}

auto adopt_engine_state(gate& state, const engine_state& reported) -> void {
    const auto ticket =
        matches_target(state, reported.m_version) ? state.m_target->m_ticket : reported.m_order.m_ticket;
    open(state, reported.m_version, ticket);
}

[[nodiscard]] auto is_same_version(const version& left, const version& right) -> bool {
    return left.m_manifest == right.m_manifest && left.m_content == right.m_content &&
           left.m_adapter == right.m_adapter && role_of(left) == role_of(right);
}

[[nodiscard]] auto check_unreachable(gate& state, const probe_result& result) -> bool {
    if (result.m_state) {
        state.m_unanswered_probes = 0;
        return false;
    }
    ++state.m_unanswered_probes;
    return result.m_connection_refused || state.m_unanswered_probes >= unanswered_probe_limit;
}

[[nodiscard]] auto apply_plain_probe(gate& state, const probe_result& result) -> bool {
    const auto is_unreachable = check_unreachable(state, result);
    if (result.m_state && state.m_phase != phase::serving) {
        open(state, version{}, state.m_target ? state.m_target->m_ticket : ticket_number{});
        return true;
    }
    if (is_unreachable && state.m_phase == phase::serving) {
        close(state, phase::failed);
        return true;
    }
    return false;
}

[[nodiscard]] auto apply_probe_while_closed(gate& state, const engine_state& reported) -> bool {
    state.m_crashes = reported.m_crashes;
    if (state.m_phase == phase::closing || state.m_is_fenced || !has_version(reported)) {
        return false;
    }
    adopt_engine_state(state, reported);
    return true;
}

[[nodiscard]] auto apply_probe_while_open(gate& state, const engine_state& reported) -> bool {
    const auto is_same =
        is_same_version(reported.m_version, state.m_confirmed_version) && reported.m_crashes == state.m_crashes;
    if (is_same && !state.m_is_fenced) {
        return false;
    }
    state.m_crashes = reported.m_crashes;
    ++state.m_probe_closures;
    close(state, phase::failed);
    return true;
}

[[nodiscard]] auto may_load(const gate& state, const gate_input& input) -> bool {
    return input.m_is_complete && input.m_epoch != 0 && !state.m_is_fenced && input.m_now >= state.m_retry_at;
}

[[nodiscard]] auto issue_load(gate& state, const gate_input& input) -> gate_command {
    ensure(input.m_requests_in_progress == 0, "no request is in progress when a load order is sent");
    ensure(state.m_phase == phase::loading, "the gate is closed when a load order is sent");
    state.m_ordered_version = state.m_target->m_version;
    state.m_ordered_version.m_content = input.m_content;
    state.m_order = order_number{state.m_target->m_ticket, input.m_epoch};
    state.m_load_in_progress = true;
    return {gate_command::kind::load, state.m_ordered_version, state.m_order};
}

} // namespace internal

auto set_target(gate& state, const target& wanted) -> bool {
    if (state.m_target && wanted == *state.m_target) {
        return false;
    }
    ensure(!state.m_target || wanted.m_ticket >= state.m_target->m_ticket, "the ticket of a target never decreases");
    state.m_target = wanted;
    state.m_retry_at = time_point{};
    const auto is_served = state.m_plain_service || internal::matches_target(state, state.m_confirmed_version);
    if (state.m_phase == phase::serving && is_served) {
        state.m_ticket = wanted.m_ticket;
    }
    return true;
}

auto needs_load(const gate& state) -> bool {
    if (state.m_plain_service || !state.m_target || state.m_target->m_version.m_manifest == digest{}) {
        return false;
    }
    return state.m_phase != phase::serving || !internal::matches_target(state, state.m_confirmed_version);
}

auto step(gate& state, const gate_input& input) -> gate_command {
    if (!needs_load(state) || state.m_load_in_progress || state.m_is_draining || !state.m_was_probed) {
        return {};
    }
    if (!input.m_is_complete) {
        if (state.m_phase == phase::empty || state.m_phase == phase::failed) {
            state.m_phase = phase::fetching;
        }
        return {gate_command::kind::fetch, state.m_target->m_version, {}};
    }
    if (!internal::may_load(state, input)) {
        return {};
    }
    if (state.m_phase == phase::serving) {
        if (!input.m_is_turn) {
            return {};
        }
        internal::close(state, phase::closing);
    }
    if (input.m_requests_in_progress > 0) {
        return {};
    }
    state.m_phase = phase::loading;
    return internal::issue_load(state, input);
}

auto on_probe(gate& state, const probe_result& result) -> bool {
    state.m_was_probed = true;
    if (state.m_plain_service) {
        return internal::apply_plain_probe(state, result);
    }
    if (state.m_load_in_progress) {
        return false;
    }
    const auto is_unreachable = internal::check_unreachable(state, result);
    if (!result.m_state) {
        const auto was_open = is_unreachable && state.m_phase == phase::serving;
        if (was_open) {
            internal::close(state, phase::failed);
        }
        return was_open;
    }
    if (state.m_order.m_epoch != 0 && result.m_state->m_order.m_epoch > state.m_order.m_epoch) {
        state.m_is_fenced = true;
    }
    return state.m_phase == phase::serving ? internal::apply_probe_while_open(state, *result.m_state)
                                           : internal::apply_probe_while_closed(state, *result.m_state);
}

auto on_loaded(gate& state, const bool accepted, const std::optional<engine_state>& read_back, const time_point now)
    -> void {
    ensure(state.m_load_in_progress, "a load order that ends was in progress");
    state.m_load_in_progress = false;
    const auto is_latest_order = read_back && read_back->m_order <= state.m_order;
    const auto is_confirmed = read_back && internal::has_version(*read_back) &&
                              internal::is_same_version(read_back->m_version, state.m_ordered_version);
    if (is_confirmed && is_latest_order) {
        state.m_crashes = read_back->m_crashes;
        internal::open(state, state.m_ordered_version, state.m_order.m_ticket);
        return;
    }
    state.m_is_fenced = read_back && read_back->m_order.m_epoch > state.m_order.m_epoch;
    state.m_retry_at = now + load_retry_delay;
    internal::close(state, accepted || !read_back ? phase::failed : phase::fetching);
}

auto admits(const gate& state, const digest& manifest) -> code {
    return state.m_is_draining ? code::draining : admits_queued(state, manifest);
}

auto admits_queued(const gate& state, const digest& manifest) -> code {
    if (state.m_phase != phase::serving || (state.m_target && !state.m_target->m_traffic)) {
        return code::no_backend_server;
    }
    if (!state.m_plain_service && manifest != digest{} && manifest != state.m_confirmed_version.m_manifest) {
        return code::wrong_version;
    }
    return code::ok;
}

auto matches_fingerprint(const version& admitted, const std::string_view fingerprint) -> bool {
    const auto digits = to_hex(admitted.m_content);
    return fingerprint.size() == internal::fingerprint_digits && digits.starts_with(fingerprint);
}

auto to_string(const phase value) noexcept -> std::string_view {
    constexpr auto names = std::to_array<std::string_view>(
        {"unknown", "empty", "fetching", "closing", "loading", "serving", "draining", "failed"});
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : names[0];
}

} // namespace rhubarbwharf::agent
