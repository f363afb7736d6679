#include <algorithm>
#include <functional>
#include <numeric>
#include <utility>

#include <rhubarbwharf/routing/quarantine.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto find_or_insert(quarantine& table, const std::uint64_t digest) -> crash_record& {
    if (table.m_rows.size() >= max_quarantine_entries && !table.m_rows.contains(digest)) {
        const auto oldest =
            std::ranges::min_element(table.m_rows, {}, [](const auto& entry) { return entry.second.m_expires; });
        table.m_rows.erase(oldest);
    }
    return table.m_rows[digest];
}

[[nodiscard]] auto total_crashes(const crash_record& row) noexcept -> std::uint32_t {
    return std::accumulate(row.m_remote_crashes.begin(), row.m_remote_crashes.end(), row.m_local_crashes,
                           [](const std::uint32_t sum, const auto& other) { return sum + other.second; });
}

} // namespace internal

auto record_crash(quarantine& table, const std::uint64_t digest, const time_point expires) -> std::uint32_t {
    auto& row = internal::find_or_insert(table, digest);
    row.m_expires = std::max(row.m_expires, expires);
    return ++row.m_local_crashes;
}

auto merge_remote_crashes(quarantine& table, const std::uint64_t digest, const std::uint64_t source,
                          const std::uint32_t crashes, const time_point expires) -> bool {
    auto& row = internal::find_or_insert(table, digest);
    auto& known_crashes = row.m_remote_crashes[source];
    const auto has_increased = crashes > known_crashes;
    known_crashes = std::max(known_crashes, crashes);
    row.m_expires = std::max(row.m_expires, expires);
    return has_increased;
}

auto record_server_crash(quarantine& table, const std::uint64_t digest, const std::uint64_t server,
                         const time_point expires) -> bool {
    return merge_remote_crashes(table, digest, server, 1U, expires);
}

auto withdraw_server_crash(quarantine& table, const std::uint64_t server) -> void {
    for (auto& entry : table.m_rows) {
        entry.second.m_remote_crashes.erase(server);
    }
    std::erase_if(table.m_rows, [](const auto& entry) { return internal::total_crashes(entry.second) == 0U; });
}

auto remove_crashes(quarantine& table, const std::uint64_t digest) -> bool {
    return table.m_rows.erase(digest) > 0U;
}

auto list_crashes(const quarantine& table, const std::uint64_t own_source, const time_point now,
                  const std::size_t max_reports) -> std::vector<crash_report> {
    std::vector<crash_report> out{};
    out.reserve(table.m_rows.size());
    for (const auto& [digest, row] : table.m_rows) {
        crash_report report{digest, std::max(row.m_expires - now, duration::zero()), {}};
        if (row.m_local_crashes > 0U) {
            report.m_counts.push_back({own_source, row.m_local_crashes});
        }
        for (const auto& [source, crashes] : row.m_remote_crashes) {
            report.m_counts.push_back({source, crashes});
        }
        out.push_back(std::move(report));
    }
    std::ranges::sort(out, std::ranges::greater{}, &crash_report::m_remaining);
    out.resize(std::min(out.size(), max_reports));
    return out;
}

auto merge_report(quarantine& table, const crash_report& report, const std::uint64_t own_source, const time_point now)
    -> bool {
    auto has_increased = false;
    for (const auto& [source, crashes] : report.m_counts) {
        if (source != own_source) {
            has_increased = merge_remote_crashes(table, report.m_digest, source, crashes, now + report.m_remaining) ||
                            has_increased;
        }
    }
    return has_increased;
}

auto clear_crashes(quarantine& table, const std::uint64_t digest) -> void {
    const auto found = table.m_rows.find(digest);
    if (found != table.m_rows.end() && internal::total_crashes(found->second) < quarantine_crash_threshold) {
        table.m_rows.erase(found);
    }
}

auto count_crashes(const quarantine& table, const std::uint64_t digest, const time_point now) noexcept
    -> std::uint32_t {
    const auto found = table.m_rows.find(digest);
    return found != table.m_rows.end() && now < found->second.m_expires ? internal::total_crashes(found->second) : 0U;
}

auto is_quarantined(const quarantine& table, const std::uint64_t digest, const time_point now) noexcept -> bool {
    return count_crashes(table, digest, now) >= quarantine_crash_threshold;
}

auto evict_expired(quarantine& table, const time_point now) -> void {
    std::erase_if(table.m_rows, [now](const auto& entry) { return entry.second.m_expires <= now; });
}

} // namespace rhubarbwharf::routing
