#include <agent/gate.hpp>

#include <array>

#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr std::size_t fingerprint_digits = 16;

auto close(gate& table, const phase next) -> void {
    table.m_phase = next;
    ++table.m_generation;
}

auto open(gate& table, const version& confirmed, const ticket_number ticket) -> void {
    ensure(table.m_plain_service || confirmed.m_manifest != digest{}, "the gate opens for a whole version only");
    ensure(!table.m_load_in_progress, "the gate is closed while the engine loads");
    table.m_confirmed_version = confirmed;
    table.m_ticket = ticket;
    table.m_phase = phase::serving;
    ++table.m_generation;
}

[[nodiscard]] auto role_of(const version& held) -> std::string_view {
    return held.m_role.empty() ? std::string_view{"serve"} : std::string_view{held.m_role};
}

[[nodiscard]] auto matches_target(const gate& table, const version& held) -> bool {
    if (!table.m_target) {
        return false;
    }
    const auto& wanted = table.m_target->m_version;
    if (wanted.m_manifest == digest{}) {
        return true;
    }
    return held.m_manifest == wanted.m_manifest && held.m_adapter == wanted.m_adapter &&
           role_of(held) == role_of(wanted);
}

[[nodiscard]] auto has_version(const engine_state& seen) -> bool {
    return seen.m_version.m_manifest != digest{} && seen.m_version.m_content != digest{};
}

auto adopt_engine_state(gate& table, const engine_state& seen) -> void {
    const auto ticket = matches_target(table, seen.m_version) ? table.m_target->m_ticket : seen.m_order.m_ticket;
    open(table, seen.m_version, ticket);
}

[[nodiscard]] auto is_same_version(const version& left, const version& right) -> bool {
    return left.m_manifest == right.m_manifest && left.m_content == right.m_content &&
           left.m_adapter == right.m_adapter && role_of(left) == role_of(right);
}

[[nodiscard]] auto check_unreachable(gate& table, const probe_result& seen) -> bool {
    if (seen.m_state) {
        table.m_unanswered_probes = 0;
        return false;
    }
    ++table.m_unanswered_probes;
    return seen.m_connection_refused || table.m_unanswered_probes >= unanswered_probe_limit;
}

[[nodiscard]] auto apply_plain_probe(gate& table, const probe_result& seen) -> bool {
    const auto gone = check_unreachable(table, seen);
    if (seen.m_state && table.m_phase != phase::serving) {
        open(table, version{}, table.m_target ? table.m_target->m_ticket : ticket_number{});
        return true;
    }
    if (gone && table.m_phase == phase::serving) {
        close(table, phase::failed);
        return true;
    }
    return false;
}

[[nodiscard]] auto apply_probe_while_closed(gate& table, const engine_state& seen) -> bool {
    table.m_crashes = seen.m_crashes;
    if (table.m_phase == phase::closing || table.m_is_fenced || !has_version(seen)) {
        return false;
    }
    adopt_engine_state(table, seen);
    return true;
}

[[nodiscard]] auto apply_probe_while_open(gate& table, const engine_state& seen) -> bool {
    const auto is_same =
        is_same_version(seen.m_version, table.m_confirmed_version) && seen.m_crashes == table.m_crashes;
    if (is_same && !table.m_is_fenced) {
        return false;
    }
    table.m_crashes = seen.m_crashes;
    ++table.m_probe_closures;
    close(table, phase::failed);
    return true;
}

[[nodiscard]] auto may_load(const gate& table, const gate_input& around) -> bool {
    return around.m_is_complete && around.m_epoch != 0 && !table.m_is_fenced && around.m_now >= table.m_retry_at;
}

[[nodiscard]] auto issue_load(gate& table, const gate_input& around) -> gate_command {
    ensure(around.m_requests_in_progress == 0, "no request is in progress when a load order goes out");
    ensure(table.m_phase == phase::loading, "the gate is closed when a load order goes out");
    table.m_ordered_version = table.m_target->m_version;
    table.m_ordered_version.m_content = around.m_content;
    table.m_order = order_number{table.m_target->m_ticket, around.m_epoch};
    table.m_load_in_progress = true;
    return {gate_command::kind::load, table.m_ordered_version, table.m_order};
}

} // namespace internal

auto set_target(gate& table, const target& wanted) -> bool {
    if (table.m_target && wanted == *table.m_target) {
        return false;
    }
    ensure(!table.m_target || wanted.m_ticket >= table.m_target->m_ticket, "a ticket in force never reverts");
    table.m_target = wanted;
    table.m_retry_at = time_point{};
    const auto is_in_force = table.m_plain_service || internal::matches_target(table, table.m_confirmed_version);
    if (table.m_phase == phase::serving && is_in_force) {
        table.m_ticket = wanted.m_ticket;
    }
    return true;
}

auto needs_load(const gate& table) -> bool {
    if (table.m_plain_service || !table.m_target || table.m_target->m_version.m_manifest == digest{}) {
        return false;
    }
    return table.m_phase != phase::serving || !internal::matches_target(table, table.m_confirmed_version);
}

auto step(gate& table, const gate_input& around) -> gate_command {
    if (!needs_load(table) || table.m_load_in_progress || table.m_is_draining || !table.m_was_probed) {
        return {};
    }
    if (!around.m_is_complete) {
        if (table.m_phase == phase::empty || table.m_phase == phase::failed) {
            table.m_phase = phase::fetching;
        }
        return {gate_command::kind::fetch, table.m_target->m_version, {}};
    }
    if (!internal::may_load(table, around)) {
        return {};
    }
    if (table.m_phase == phase::serving) {
        if (!around.m_is_turn) {
            return {};
        }
        internal::close(table, phase::closing);
    }
    if (around.m_requests_in_progress > 0) {
        return {};
    }
    table.m_phase = phase::loading;
    return internal::issue_load(table, around);
}

auto on_probe(gate& table, const probe_result& seen) -> bool {
    table.m_was_probed = true;
    if (table.m_plain_service) {
        return internal::apply_plain_probe(table, seen);
    }
    if (table.m_load_in_progress) {
        return false;
    }
    const auto gone = internal::check_unreachable(table, seen);
    if (!seen.m_state) {
        const auto was_open = gone && table.m_phase == phase::serving;
        if (was_open) {
            internal::close(table, phase::failed);
        }
        return was_open;
    }
    if (table.m_order.m_epoch != 0 && seen.m_state->m_order.m_epoch > table.m_order.m_epoch) {
        table.m_is_fenced = true;
    }
    return table.m_phase == phase::serving ? internal::apply_probe_while_open(table, *seen.m_state)
                                           : internal::apply_probe_while_closed(table, *seen.m_state);
}

auto on_loaded(gate& table, const bool accepted, const std::optional<engine_state>& read_back, const time_point now)
    -> void {
    ensure(table.m_load_in_progress, "a load order that ends was under way");
    table.m_load_in_progress = false;
    const auto is_own = read_back && read_back->m_order <= table.m_order;
    const auto is_whole = read_back && internal::has_version(*read_back) &&
                          internal::is_same_version(read_back->m_version, table.m_ordered_version);
    if (is_whole && is_own) {
        table.m_crashes = read_back->m_crashes;
        internal::open(table, table.m_ordered_version, table.m_order.m_ticket);
        return;
    }
    table.m_is_fenced = read_back && read_back->m_order.m_epoch > table.m_order.m_epoch;
    table.m_retry_at = now + load_retry_delay;
    internal::close(table, accepted || !read_back ? phase::failed : phase::fetching);
}

auto admits(const gate& table, const digest& manifest) -> code {
    return table.m_is_draining ? code::draining : admits_queued(table, manifest);
}

auto admits_queued(const gate& table, const digest& manifest) -> code {
    if (table.m_phase != phase::serving || (table.m_target && !table.m_target->m_traffic)) {
        return code::no_backend_server;
    }
    if (!table.m_plain_service && manifest != digest{} && manifest != table.m_confirmed_version.m_manifest) {
        return code::wrong_version;
    }
    return code::ok;
}

auto matches_fingerprint(const version& admitted, const std::string_view mark) -> bool {
    const auto digits = to_hex(admitted.m_content);
    return mark.size() == internal::fingerprint_digits && digits.starts_with(mark);
}

auto to_string(const phase value) noexcept -> std::string_view {
    constexpr auto names = std::to_array<std::string_view>(
        {"unknown", "empty", "fetching", "closing", "loading", "serving", "draining", "failed"});
    const auto index = static_cast<std::size_t>(value);
    return index < names.size() ? names[index] : names[0];
}

} // namespace rhubarbwharf::agent
