#include <algorithm>
#include <numeric>

#include <rhubarbwharf/routing/quarantine.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto emplace(quarantine& table, const std::uint64_t content) -> crash_row& {
    if (table.m_rows.size() >= quarantine_rows && !table.m_rows.contains(content)) {
        const auto oldest =
            std::ranges::min_element(table.m_rows, {}, [](const auto& entry) { return entry.second.m_until; });
        table.m_rows.erase(oldest);
    }
    return table.m_rows[content];
}

[[nodiscard]] auto total(const crash_row& row) noexcept -> std::uint32_t {
    return std::accumulate(row.m_others.begin(), row.m_others.end(), row.m_own,
                           [](const std::uint32_t sum, const auto& other) { return sum + other.second; });
}

} // namespace internal

auto blame(quarantine& table, const std::uint64_t content, const time_point until) -> std::uint32_t {
    auto& row = internal::emplace(table, content);
    row.m_until = std::max(row.m_until, until);
    return ++row.m_own;
}

auto merge(quarantine& table, const std::uint64_t content, const std::uint64_t source, const std::uint32_t crashes,
           const time_point until) -> bool {
    auto& row = internal::emplace(table, content);
    auto& held = row.m_others[source];
    const auto raised = crashes > held;
    held = std::max(held, crashes);
    row.m_until = std::max(row.m_until, until);
    return raised;
}

auto clear(quarantine& table, const std::uint64_t content) -> void {
    const auto found = table.m_rows.find(content);
    if (found != table.m_rows.end() && internal::total(found->second) < quarantine_crashes) {
        table.m_rows.erase(found);
    }
}

auto crashes(const quarantine& table, const std::uint64_t content, const time_point now) noexcept -> std::uint32_t {
    const auto found = table.m_rows.find(content);
    return found != table.m_rows.end() && now < found->second.m_until ? internal::total(found->second) : 0U;
}

auto is_held(const quarantine& table, const std::uint64_t content, const time_point now) noexcept -> bool {
    return crashes(table, content, now) >= quarantine_crashes;
}

auto sweep(quarantine& table, const time_point now) -> void {
    std::erase_if(table.m_rows, [now](const auto& entry) { return entry.second.m_until <= now; });
}

} // namespace rhubarbwharf::routing
