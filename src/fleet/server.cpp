#include <algorithm>
#include <set>

#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Maximum number of remembered removals; the ones with the lowest revision are evicted first. */
constexpr std::size_t max_remembered_removals = 1024U;
/*! @brief Maximum number of remembered leaving servers; the ones that started first are evicted first. */
constexpr std::size_t max_remembered_leaving = 1024U;

} // namespace

auto merge_server(server_table& table, backend_server row) -> bool {
    const auto removal = table.m_removed.find(row.m_id);
    if (removal != table.m_removed.end() && removal->second >= row.m_revision) {
        return false;
    }
    const auto found = table.m_rows.find(row.m_id);
    if (found != table.m_rows.end() && found->second.m_revision >= row.m_revision) {
        return false;
    }
    table.m_revision = std::max(table.m_revision, row.m_revision);
    table.m_rows.insert_or_assign(row.m_id, std::move(row));
    return true;
}

auto merge_removal(server_table& table, const std::string_view id, const std::uint64_t revision) -> bool {
    table.m_revision = std::max(table.m_revision, revision);
    auto& removal = table.m_removed[std::string{id}];
    removal = std::max(removal, revision);
    if (table.m_removed.size() > max_remembered_removals) {
        table.m_removed.erase(
            std::ranges::min_element(table.m_removed, {}, [](const auto& each) { return each.second; }));
    }
    const auto found = table.m_rows.find(id);
    if (found == table.m_rows.end() || found->second.m_revision > revision) {
        return false;
    }
    table.m_rows.erase(found);
    return true;
}

auto merge_listing(server_table& table, std::vector<backend_server> rows, const std::uint64_t revision)
    -> std::vector<std::string> {
    std::set<std::string, std::less<>> listed{};
    for (auto& row : rows) {
        listed.insert(row.m_id);
        merge_server(table, std::move(row));
    }
    std::vector<std::string> dropped{};
    for (const auto& [id, row] : table.m_rows) {
        if (!listed.contains(id) && row.m_revision <= revision) {
            dropped.push_back(id);
        }
    }
    for (const auto& id : dropped) {
        merge_removal(table, id, revision);
    }
    table.m_revision = std::max(table.m_revision, revision);
    return dropped;
}

auto merge_leaving(leaving_table& table, const std::string_view id, leaving_server value) -> bool {
    if (is_leaving(table, id, value.m_started_ms)) {
        return false;
    }
    table.insert_or_assign(std::string{id}, std::move(value));
    if (table.size() > max_remembered_leaving) {
        table.erase(std::ranges::min_element(table, {}, [](const auto& each) { return each.second.m_started_ms; }));
    }
    return true;
}

auto is_leaving(const leaving_table& table, const std::string_view id, const std::uint64_t started_ms) noexcept
    -> bool {
    const auto found = table.find(id);
    return found != table.end() && found->second.m_started_ms >= started_ms;
}

auto fingerprint(const server_table& table) noexcept -> std::uint64_t {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    std::uint64_t out{};
    for (const auto& [id, row] : table.m_rows) {
        auto mixed = offset ^ row.m_revision;
        for (const auto character : id) {
            mixed = (mixed ^ static_cast<unsigned char>(character)) * prime;
        }
        out += mixed * prime;
    }
    return out;
}

auto complete_version(const std::vector<held_model>& models, const std::string_view model, const unsigned layers)
    -> std::uint64_t {
    const auto found = std::ranges::find(models, model, &held_model::m_name);
    return found == models.end() || found->m_layers.value_or(layers) < layers ? 0U : found->m_version;
}

} // namespace rhubarbwharf::fleet
