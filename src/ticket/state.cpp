#include <rhubarbwharf/ticket/state.hpp>

#include <algorithm>
#include <set>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/ticket/json.hpp>

namespace rhubarbwharf::ticket {

namespace internal {

namespace {

constexpr std::string_view group_prefix = "group:";
constexpr std::string_view instance_prefix = "instance:";

[[nodiscard]] auto position(const desired_state& state, const std::string_view scope) noexcept {
    return std::ranges::lower_bound(state.m_entries, scope, std::ranges::less{}, &scope_entry::m_scope);
}

[[nodiscard]] auto is_scope(const std::string_view scope) noexcept -> bool {
    const auto named = [scope](const std::string_view prefix) {
        return scope.starts_with(prefix) && scope.size() > prefix.size();
    };
    return named(group_prefix) || named(instance_prefix);
}

[[nodiscard]] auto malformed_scope(const ticket& order) -> std::optional<std::string> {
    std::set<std::string_view> seen{};
    for (const auto& [scope, state] : order.m_changes) {
        if (!is_scope(scope) || !seen.insert(scope).second) {
            return scope;
        }
    }
    return std::nullopt;
}

[[nodiscard]] auto next_number(const desired_state& state) noexcept -> ticket_number {
    auto newest = highest(state).value();
    for (const auto& kept : state.m_submissions) {
        newest = std::max(newest, kept.m_ticket.value());
    }
    return ticket_number{newest + 1U};
}

[[nodiscard]] auto conflict(const desired_state& state, const ticket& order, const ticket_number number)
    -> const scope_entry* {
    const scope_entry* winner = nullptr;
    for (const auto& [scope, wanted] : order.m_changes) {
        const auto* const standing = find(state, scope);
        const auto stands = standing != nullptr && standing->m_ticket >= number;
        if (stands && (winner == nullptr || standing->m_ticket > winner->m_ticket)) {
            winner = standing;
        }
    }
    return winner;
}

auto remember(desired_state& state, const ticket& order, const ticket_number number) -> void {
    state.m_submissions.push_back({order.m_submission, number});
    if (state.m_submissions.size() > submissions_kept) {
        state.m_submissions.erase(state.m_submissions.begin());
    }
}

auto append_text(std::string& bytes, const std::string_view text) -> void {
    bytes.append(std::to_string(text.size())).append(":").append(text);
}

} // namespace

} // namespace internal

auto find(const desired_state& state, const std::string_view scope) noexcept -> const scope_entry* {
    const auto found = internal::position(state, scope);
    return found != state.m_entries.end() && found->m_scope == scope ? &*found : nullptr;
}

auto merge(desired_state& state, const scope_entry& entry) -> bool {
    const auto offset = internal::position(state, entry.m_scope) - state.m_entries.begin();
    const auto found = state.m_entries.begin() + offset;
    if (found == state.m_entries.end() || found->m_scope != entry.m_scope) {
        state.m_entries.insert(found, entry);
        return true;
    }
    if (entry.m_ticket <= found->m_ticket) {
        return false;
    }
    *found = entry;
    return true;
}

auto merge(desired_state& state, const std::span<const scope_entry> entries) -> std::size_t {
    std::size_t changed = 0;
    for (const auto& entry : entries) {
        changed += merge(state, entry) ? 1U : 0U;
    }
    return changed;
}

auto accept(desired_state& state, const ticket& order) -> verdict {
    if (order.m_changes.empty() || order.m_submission.empty()) {
        return {.m_code = code::ticket_malformed};
    }
    const auto before = std::ranges::find(state.m_submissions, order.m_submission, &submission::m_id);
    if (before != state.m_submissions.end()) {
        return {.m_code = code::ok, .m_number = before->m_ticket, .m_repeated = true};
    }
    if (const auto scope = internal::malformed_scope(order); scope) {
        return {.m_code = code::ticket_malformed, .m_scope = *scope};
    }
    const auto number = order.m_number == ticket_number{} ? internal::next_number(state) : order.m_number;
    if (const auto* const winner = internal::conflict(state, order, number); winner != nullptr) {
        return {.m_code = code::ticket_conflict, .m_number = winner->m_ticket, .m_scope = winner->m_scope};
    }
    auto changed = state;
    for (const auto& [scope, wanted] : order.m_changes) {
        const auto taken = merge(changed, scope_entry{scope, number, wanted});
        ensure(taken, "an accepted ticket is in force in each of its scopes");
    }
    internal::remember(changed, order, number);
    if (to_json(changed).size() > state_bytes_max) {
        return {.m_code = code::state_too_large};
    }
    state = std::move(changed);
    return {.m_code = code::ok, .m_number = number};
}

auto highest(const desired_state& state) noexcept -> ticket_number {
    ticket_number newest{};
    for (const auto& entry : state.m_entries) {
        newest = std::max(newest, entry.m_ticket);
    }
    return newest;
}

auto fingerprint(const desired_state& state) -> digest {
    std::string bytes{};
    for (const auto& [scope, number, wanted] : state.m_entries) {
        internal::append_text(bytes, scope);
        internal::append_text(bytes, std::to_string(number.value()));
        internal::append_text(bytes, wanted.m_model);
        internal::append_text(bytes, as_bytes(wanted.m_manifest));
        internal::append_text(bytes, wanted.m_adapter);
        internal::append_text(bytes, wanted.m_role);
        internal::append_text(bytes, wanted.m_traffic ? "1" : "0");
    }
    return sha256(std::string_view{bytes});
}

auto behind(const desired_state& applied, const desired_state& wanted) -> std::vector<std::string_view> {
    std::vector<std::string_view> scopes{};
    for (const auto& entry : wanted.m_entries) {
        const auto* const standing = find(applied, entry.m_scope);
        if (standing == nullptr || standing->m_ticket < entry.m_ticket) {
            scopes.push_back(entry.m_scope);
        }
    }
    return scopes;
}

} // namespace rhubarbwharf::ticket
