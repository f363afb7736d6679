#include <iterator>

#include <rhubarbwharf/fleet/change_account.hpp>

namespace rhubarbwharf::fleet {

auto add_delivered(change_account& value, const std::span<const std::uint64_t> revisions) -> void {
    for (const auto each : revisions) {
        if (each > value.m_known.m_revision) {
            value.m_delivered.insert(each);
        }
    }
    if (value.m_delivered.size() > max_kept_revisions) {
        value = {};
    }
}

auto accounts_for(change_account& value, const store_version told) -> bool {
    if (told.m_era != value.m_known.m_era) {
        return false;
    }
    if (told <= value.m_known) {
        return true;
    }
    const auto end = value.m_delivered.upper_bound(told.m_revision);
    const auto delivered = static_cast<std::uint64_t>(std::distance(value.m_delivered.begin(), end));
    if (delivered != told.m_revision - value.m_known.m_revision) {
        return false;
    }
    settle(value, told);
    return true;
}

auto settle(change_account& value, const store_version checked) -> void {
    if (checked.m_era != value.m_known.m_era) {
        value.m_delivered.clear();
    }
    value.m_known = checked;
    value.m_delivered.erase(value.m_delivered.begin(), value.m_delivered.upper_bound(checked.m_revision));
}

} // namespace rhubarbwharf::fleet
