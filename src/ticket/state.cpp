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

[[nodiscard]] auto find_position(const desired_state& state, const std::string_view scope) noexcept {
    return std::ranges::lower_bound(state.m_entries, scope, std::ranges::less{}, &scope_entry::m_scope);
}

[[nodiscard]] auto is_valid_scope(const std::string_view scope) noexcept -> bool {
    const auto has_name_after = [scope](const std::string_view prefix) {
        return scope.starts_with(prefix) && scope.size() > prefix.size();
    };
    return has_name_after(group_prefix) || has_name_after(instance_prefix);
}

[[nodiscard]] auto find_invalid_scope(const ticket& candidate) -> std::optional<std::string> {
    std::set<std::string_view> seen{};
    for (const auto& [scope, state] : candidate.m_changes) {
        if (!is_valid_scope(scope) || !seen.insert(scope).second) {
            return scope;
        }
    }
    return std::nullopt;
}

[[nodiscard]] auto next_ticket_number(const desired_state& state) noexcept -> ticket_number {
    auto max_ticket = highest_ticket(state).value();
    for (const auto& accepted : state.m_submissions) {
        max_ticket = std::max(max_ticket, accepted.m_ticket.value());
    }
    return ticket_number{max_ticket + 1U};
}

[[nodiscard]] auto find_conflict(const desired_state& state, const ticket& candidate, const ticket_number number)
    -> const scope_entry* {
    const scope_entry* winner = nullptr;
    for (const auto& [scope, desired] : candidate.m_changes) {
        const auto* const current = find(state, scope);
        const auto conflicts = current != nullptr && current->m_ticket >= number;
        if (conflicts && (winner == nullptr || current->m_ticket > winner->m_ticket)) {
            winner = current;
        }
    }
    return winner;
}

auto record_submission(desired_state& state, const ticket& candidate, const ticket_number number) -> void {
    state.m_submissions.push_back({candidate.m_submission_id, number});
    if (state.m_submissions.size() > max_submissions) {
        state.m_submissions.erase(state.m_submissions.begin());
    }
}

auto append_length_prefixed(std::string& buffer, const std::string_view text) -> void {
    buffer.append(std::to_string(text.size())).append(":").append(text);
}

} // namespace

} // namespace internal

auto find(const desired_state& state, const std::string_view scope) noexcept -> const scope_entry* {
    const auto found = internal::find_position(state, scope);
    return found != state.m_entries.end() && found->m_scope == scope ? &*found : nullptr;
}

auto merge(desired_state& state, const scope_entry& entry) -> bool {
    const auto offset = internal::find_position(state, entry.m_scope) - state.m_entries.begin();
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

auto accept(desired_state& state, const ticket& candidate) -> accept_result {
    if (candidate.m_changes.empty() || candidate.m_submission_id.empty()) {
        return {.m_code = code::ticket_malformed};
    }
    const auto accepted_before = std::ranges::find(state.m_submissions, candidate.m_submission_id, &submission::m_id);
    if (accepted_before != state.m_submissions.end()) {
        return {.m_code = code::ok, .m_number = accepted_before->m_ticket, .m_duplicate = true};
    }
    if (const auto scope = internal::find_invalid_scope(candidate); scope) {
        return {.m_code = code::ticket_malformed, .m_scope = *scope};
    }
    const auto number =
        candidate.m_number == ticket_number{} ? internal::next_ticket_number(state) : candidate.m_number;
    if (const auto* const winner = internal::find_conflict(state, candidate, number); winner != nullptr) {
        return {.m_code = code::ticket_conflict, .m_number = winner->m_ticket, .m_scope = winner->m_scope};
    }
    auto changed = state;
    for (const auto& [scope, desired] : candidate.m_changes) {
        const auto merged = merge(changed, scope_entry{scope, number, desired});
        ensure(merged, "an accepted ticket is in force in each of its scopes");
    }
    internal::record_submission(changed, candidate, number);
    if (to_json(changed).size() > max_state_bytes) {
        return {.m_code = code::state_too_large};
    }
    state = std::move(changed);
    return {.m_code = code::ok, .m_number = number};
}

auto highest_ticket(const desired_state& state) noexcept -> ticket_number {
    ticket_number max_ticket{};
    for (const auto& entry : state.m_entries) {
        max_ticket = std::max(max_ticket, entry.m_ticket);
    }
    return max_ticket;
}

auto fingerprint(const desired_state& state) -> digest {
    std::string buffer{};
    for (const auto& [scope, number, desired] : state.m_entries) {
        internal::append_length_prefixed(buffer, scope);
        internal::append_length_prefixed(buffer, std::to_string(number.value()));
        internal::append_length_prefixed(buffer, desired.m_model);
        internal::append_length_prefixed(buffer, as_bytes(desired.m_manifest));
        internal::append_length_prefixed(buffer, desired.m_adapter);
        internal::append_length_prefixed(buffer, desired.m_role);
        internal::append_length_prefixed(buffer, desired.m_traffic ? "1" : "0");
    }
    return sha256(std::string_view{buffer});
}

auto outdated_scopes(const desired_state& applied, const desired_state& desired) -> std::vector<std::string_view> {
    std::vector<std::string_view> scopes{};
    for (const auto& entry : desired.m_entries) {
        const auto* const current = find(applied, entry.m_scope);
        if (current == nullptr || current->m_ticket < entry.m_ticket) {
            scopes.push_back(entry.m_scope);
        }
    }
    return scopes;
}

} // namespace rhubarbwharf::ticket
