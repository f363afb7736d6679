#include <algorithm>
#include <set>

#include <rhubarbwharf/fleet/change_account.hpp>

namespace rhubarbwharf::fleet {

auto account(change_account& value, const store_version answered, const std::span<const std::uint64_t> revisions,
             const time_point now) -> bool {
    const auto former = value.m_version;
    std::set<std::uint64_t> counted{};
    std::ranges::copy_if(revisions, std::inserter(counted, counted.end()), [&](const std::uint64_t revision) {
        return revision > former.m_revision && revision <= answered.m_revision;
    });
    const auto is_continued = former.m_era == answered.m_era && former.m_revision <= answered.m_revision;
    const auto is_complete = is_continued && answered.m_revision - former.m_revision == counted.size();
    value.m_version = answered;
    value.m_at = now;
    if (!is_complete) {
        value.m_unaccounted = answered;
    }
    return !is_complete;
}

auto may_have_missed(const change_account& value, const store_version followed, const time_point now,
                     const duration max_age) noexcept -> bool {
    return value.m_unaccounted > followed || now - value.m_at >= max_age;
}

} // namespace rhubarbwharf::fleet
