#include <algorithm>
#include <cmath>

#include <rhubarbwharf/fleet/limit.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Maximum number of remembered limits; the ones that were received first are evicted first. */
constexpr std::size_t max_remembered_limits = 1024U;

auto replace(limit_table& table, const std::string_view id, const server_limit& value) -> bool {
    auto& known = table[std::string{id}];
    const auto had_none = known.m_started_ms != value.m_started_ms || known.m_per_s == no_limit;
    const auto has_changed = had_none ? value.m_per_s != no_limit : known.m_per_s != value.m_per_s;
    known = value;
    if (table.size() > max_remembered_limits) {
        table.erase(std::ranges::min_element(table, {}, [](const auto& each) { return each.second.m_as_of; }));
    }
    return has_changed;
}

} // namespace

auto merge_named_limit(limit_table& table, const std::string_view id, const server_limit& named,
                       const time_point sent_at) -> bool {
    const auto known = table.find(id);
    if (known == table.end() || known->second.m_started_ms < named.m_started_ms) {
        return named.m_per_s != no_limit && replace(table, id, named);
    }
    if (known->second.m_started_ms > named.m_started_ms) {
        return false;
    }
    const auto is_lower = named.m_per_s < known->second.m_per_s;
    return (is_lower || sent_at > known->second.m_as_of) && replace(table, id, named);
}

auto merge_told_limit(limit_table& table, const std::string_view id, const server_limit& told) -> bool {
    const auto known = table.find(id);
    const auto is_newer = known == table.end() || known->second.m_started_ms < told.m_started_ms ||
                          (known->second.m_started_ms == told.m_started_ms && known->second.m_as_of < told.m_as_of);
    return is_newer && replace(table, id, told);
}

auto limit_of(const limit_table& table, const std::string_view id, const std::uint64_t started_ms) noexcept -> double {
    const auto known = table.find(id);
    if (known == table.end() || known->second.m_started_ms != started_ms) {
        return no_limit;
    }
    return known->second.m_per_s;
}

auto is_told(const server_limit& limit, const time_point now) noexcept -> bool {
    return std::isfinite(limit.m_per_s) || now - limit.m_as_of < lifted_limit_memory;
}

} // namespace rhubarbwharf::fleet
