#include <algorithm>
#include <set>

#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::fleet {

namespace {

/*! @brief Maximum number of remembered removals; the ones with the lowest version are evicted first. */
constexpr std::size_t max_remembered_removals = 1024U;
/*! @brief Maximum number of remembered leaving servers; the ones that started first are evicted first. */
constexpr std::size_t max_remembered_leaving = 1024U;

} // namespace

auto merge_server(server_table& table, backend_server row) -> bool {
    const auto removal = table.m_removed.find(row.m_id);
    if (removal != table.m_removed.end() && removal->second >= row.m_store_version) {
        return false;
    }
    const auto found = table.m_rows.find(row.m_id);
    const auto known_version = found == table.m_rows.end() ? table.m_listing_version : found->second.m_store_version;
    if (known_version >= row.m_store_version) {
        return false;
    }
    table.m_version = std::max(table.m_version, row.m_store_version);
    ++table.m_changes;
    table.m_rows.insert_or_assign(row.m_id, std::move(row));
    return true;
}

auto merge_removal(server_table& table, const std::string_view id, const store_version version) -> bool {
    table.m_version = std::max(table.m_version, version);
    auto& removal = table.m_removed[std::string{id}];
    removal = std::max(removal, version);
    if (table.m_removed.size() > max_remembered_removals) {
        table.m_removed.erase(
            std::ranges::min_element(table.m_removed, {}, [](const auto& each) { return each.second; }));
    }
    const auto found = table.m_rows.find(id);
    if (found == table.m_rows.end() || found->second.m_store_version > version) {
        return false;
    }
    ++table.m_changes;
    table.m_rows.erase(found);
    return true;
}

auto missing_entries(const server_table& table, const std::set<std::string, std::less<>>& listed,
                     const store_version version) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (const auto& [id, row] : table.m_rows) {
        if (!listed.contains(id) && row.m_store_version <= version) {
            out.push_back(id);
        }
    }
    return out;
}

auto merge_listing(server_table& table, std::vector<backend_server> rows, const store_version version)
    -> std::vector<std::string> {
    std::set<std::string, std::less<>> listed{};
    for (auto& row : rows) {
        listed.insert(row.m_id);
        merge_server(table, std::move(row));
    }
    note_listing(table, version);
    auto dropped = missing_entries(table, listed, version);
    for (const auto& id : dropped) {
        merge_removal(table, id, version);
    }
    return dropped;
}

auto revives_removed(const server_table& table, const backend_server& row) noexcept -> bool {
    const auto removal = table.m_removed.find(row.m_id);
    return removal != table.m_removed.end() && removal->second.m_era < row.m_store_version.m_era &&
           !table.m_rows.contains(row.m_id);
}

auto revives_drained(const backend_server& known, const backend_server& row) noexcept -> bool {
    return known.m_draining && !row.m_draining && known.m_started_ms == row.m_started_ms &&
           known.m_store_version.m_era < row.m_store_version.m_era;
}

auto note_listing(server_table& table, const store_version version) -> void {
    table.m_version = std::max(table.m_version, version);
    table.m_listing_version = std::max(table.m_listing_version, version);
}

auto note_told_version(missed_version& missed, const store_version known, const store_version told,
                       const time_point now) noexcept -> bool {
    if (missed.m_version <= known) {
        missed = {told, now};
    }
    if (missed.m_version <= known || now - missed.m_since < max_watch_lag) {
        return false;
    }
    missed.m_since = now;
    return true;
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

namespace {

/*! @brief Combines a digest of each entry. @param seed_of Function from the version of an entry to a number. */
[[nodiscard]] auto digest(const server_table& table, const auto& seed_of) noexcept -> std::uint64_t {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    std::uint64_t out{};
    for (const auto& [id, row] : table.m_rows) {
        auto mixed = offset ^ seed_of(row.m_store_version);
        for (const auto character : id) {
            mixed = (mixed ^ static_cast<unsigned char>(character)) * prime;
        }
        out += mixed * prime;
    }
    return out;
}

} // namespace

auto fingerprint(const server_table& table) noexcept -> std::uint64_t {
    constexpr std::uint64_t factor = 0x9e37'79b9'7f4a'7c15ULL;
    return digest(table, [](const store_version version) { return version.m_revision ^ (version.m_era * factor); });
}

auto fingerprint_of_revisions(const server_table& table) noexcept -> std::uint64_t {
    return digest(table, [](const store_version version) { return version.m_revision; });
}

namespace {

[[nodiscard]] auto contains_version(const std::span<const held_model> models, const held_model& sought) -> bool {
    return std::ranges::any_of(models, [&sought](const held_model& each) {
        return each.m_name == sought.m_name && each.m_version == sought.m_version;
    });
}

} // namespace

auto add_proven(std::vector<held_model>& proven, const std::span<const held_model> reported) -> void {
    for (const auto& each : reported) {
        if (!contains_version(proven, each)) {
            proven.push_back(each);
        }
    }
}

auto select_proven(const std::span<const held_model> held, const std::span<const held_model> proven)
    -> std::vector<held_model> {
    std::vector<held_model> out{};
    std::ranges::copy_if(held, std::back_inserter(out),
                         [proven](const held_model& each) { return contains_version(proven, each); });
    return out;
}

auto complete_version(const std::vector<held_model>& models, const std::string_view model, const unsigned layers)
    -> std::uint64_t {
    const auto found = std::ranges::find(models, model, &held_model::m_name);
    return found == models.end() || found->m_layers.value_or(layers) < layers ? 0U : found->m_version;
}

auto merge_report(weights_target& known, const weights_target& reported) noexcept -> void {
    if (known.m_has_exact_write_time == reported.m_has_exact_write_time) {
        known.m_written_at = std::min(known.m_written_at, reported.m_written_at);
    } else if (reported.m_has_exact_write_time) {
        known.m_written_at = reported.m_written_at;
        known.m_has_exact_write_time = true;
    }
    known.m_is_confirmed = known.m_is_confirmed || reported.m_is_confirmed;
}

auto merge_delayed_report(weights_target& known, const time_point earliest, const time_point latest,
                          const bool is_independent) noexcept -> void {
    if (known.m_written_at > latest) {
        known.m_written_at = earliest;
        known.m_has_exact_write_time = false;
    } else if (known.m_has_exact_write_time) {
        const auto is_certain = known.m_written_at <= earliest + max_confirmed_error;
        known.m_is_confirmed = known.m_is_confirmed || (is_certain && is_independent);
        if (!is_certain && !known.m_is_confirmed) {
            known.m_written_at = earliest;
            known.m_has_exact_write_time = false;
        }
    } else {
        known.m_written_at = std::max(known.m_written_at, earliest);
    }
}

auto needs_confirmation(const weights_target& target, const time_point now, const duration limit) noexcept -> bool {
    return !target.m_is_confirmed && target.m_confirmation_requests < max_confirmation_requests &&
           now - target.m_learned_at < limit;
}

} // namespace rhubarbwharf::fleet
