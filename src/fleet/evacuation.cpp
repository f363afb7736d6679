#include <rhubarbwharf/fleet/evacuation.hpp>

namespace rhubarbwharf::fleet {

auto merge_evacuation(evacuation_table& table, const std::string_view data_centre, const evacuation& value) -> bool {
    const auto found = table.find(data_centre);
    if (found == table.end()) {
        table.emplace(data_centre, value);
        return value.m_active;
    }
    auto& known = found->second;
    if (value.m_version <= known.m_version) {
        return false;
    }
    const auto changed = known.m_active != value.m_active;
    known.m_version = value.m_version;
    known.m_active = value.m_active;
    known.m_learned_at = changed ? value.m_learned_at : known.m_learned_at;
    return changed;
}

auto is_evacuated(const evacuation_table& table, const std::string_view data_centre) noexcept -> bool {
    const auto found = table.find(data_centre);
    return found != table.end() && found->second.m_active;
}

auto ended_evacuations(const evacuation_table& table, const std::set<std::string, std::less<>>& listed,
                       const store_version version) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& [data_centre, value] : table) {
        if (value.m_active && value.m_version <= version && !listed.contains(data_centre)) {
            out.push_back(data_centre);
        }
    }
    return out;
}

} // namespace rhubarbwharf::fleet
