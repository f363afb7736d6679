#include <algorithm>

#include <rhubarbwharf/routing/prompt_parts.hpp>

namespace rhubarbwharf::routing {

namespace internal {

namespace {

[[nodiscard]] auto contains(const std::span<const part_id> parts, const part_id part) noexcept -> bool {
    return std::ranges::find(parts, part) != parts.end();
}

[[nodiscard]] auto contains_all(const std::span<const part_id> parts, const std::span<const part_id> wanted) noexcept
    -> bool {
    return std::ranges::all_of(wanted, [parts](const part_id each) { return contains(parts, each); });
}

[[nodiscard]] auto was_served(const part_table& table, const part_id part, const time_point now) noexcept -> bool {
    const auto found = table.m_served.find(part);
    return found != table.m_served.end() && now - found->second <= served_window;
}

/*! @brief Checks whether parts that are held back explain a crash. */
[[nodiscard]] auto explains(const held_parts& held, const server_crash& crash) noexcept -> bool {
    return contains_all(crash.m_parts, held.m_parts);
}

auto update_counts(part_table& table) -> void {
    table.m_counts.clear();
    table.m_recorded.clear();
    for (const auto& each : table.m_held) {
        table.m_recorded.insert(each.m_parts.begin(), each.m_parts.end());
    }
    for (const auto& row : table.m_crashes) {
        const auto& crash = row.second;
        const auto explained =
            std::ranges::find_if(table.m_held, [&crash](const auto& each) { return explains(each, crash); });
        for (const auto part : crash.m_parts) {
            table.m_recorded.insert(part);
            if (explained == table.m_held.end() || contains(explained->m_parts, part)) {
                ++table.m_counts[part];
            }
        }
    }
}

/*! @brief Evicts the row with the least value of a member until there is room for another. */
template <typename Rows, typename Projection>
auto make_room(Rows& rows, const std::size_t limit, const Projection projection) -> void {
    while (rows.size() >= limit) {
        rows.erase(std::ranges::min_element(rows, {}, projection));
    }
}

[[nodiscard]] auto hold_time(const std::uint32_t holds) noexcept -> duration {
    auto out = first_hold_time;
    for (std::uint32_t index = 1U; index < holds && out < max_hold_time; ++index) {
        out *= hold_time_factor;
    }
    return std::min(out, max_hold_time);
}

auto insert_hold(part_table& table, held_parts value) -> void {
    std::erase_if(table.m_held, [&value](const auto& each) { return contains_all(each.m_parts, value.m_parts); });
    make_room(table.m_held, max_held_parts, &held_parts::m_until);
    table.m_held.push_back(std::move(value));
    update_counts(table);
}

[[nodiscard]] auto is_on_trial(const part_table& table, const part_id part, const time_point now) noexcept -> bool {
    const auto found = table.m_trials.find(part);
    return found != table.m_trials.end() && now < found->second;
}

/*! @brief Returns the parts of a request that are suspect: by their crashes, by a verdict that has run out, or as some
 * of the parts of a verdict. */
[[nodiscard]] auto suspects_among(const part_table& table, const std::span<const part_id> parts)
    -> std::vector<part_id> {
    std::vector<part_id> out{};
    for (const auto part : parts) {
        const auto is_held =
            std::ranges::any_of(table.m_held, [part](const auto& each) { return contains(each.m_parts, part); });
        if ((is_held || count_crashes(table, part) >= suspect_crashes) && !contains(out, part)) {
            out.push_back(part);
        }
    }
    return out;
}

} // namespace

} // namespace internal

auto add_crash(part_table& table, const incarnation_id server, const std::span<const part_id> parts,
               const time_point now) -> std::vector<part_id> {
    if (!table.m_crashes.contains(server)) {
        internal::make_room(table.m_crashes, max_crash_records, [](const auto& each) { return each.second.m_at; });
        table.m_crashes[server].m_at = now;
    }
    auto& crash = table.m_crashes[server];
    std::vector<part_id> out{};
    for (const auto part : parts) {
        const auto is_known = internal::contains(crash.m_parts, part) || internal::was_served(table, part, now);
        if (!is_known && crash.m_parts.size() < max_crash_parts) {
            crash.m_parts.push_back(part);
            out.push_back(part);
        }
    }
    internal::update_counts(table);
    return out;
}

auto remove_crash(part_table& table, const incarnation_id server, const time_point now) -> bool {
    const auto found = table.m_crashes.find(server);
    if (found == table.m_crashes.end() || now - found->second.m_at < alive_delay) {
        return false;
    }
    table.m_crashes.erase(found);
    std::erase_if(table.m_held, [server](const auto& each) { return each.m_server == server; });
    internal::update_counts(table);
    return true;
}

auto add_served(part_table& table, const std::span<const part_id> parts, const time_point now) -> std::vector<part_id> {
    std::vector<part_id> out{};
    for (const auto part : parts) {
        if (!table.m_served.contains(part)) {
            internal::make_room(table.m_served, max_served_parts, [](const auto& each) { return each.second; });
        }
        table.m_served[part] = now;
        table.m_trials.erase(part);
        if (!table.m_recorded.contains(part)) {
            continue;
        }
        auto is_cleared = false;
        for (auto& [server, crash] : table.m_crashes) {
            is_cleared = std::erase(crash.m_parts, part) > 0U || is_cleared;
        }
        for (auto& each : table.m_held) {
            is_cleared = std::erase(each.m_parts, part) > 0U || is_cleared;
        }
        if (is_cleared) {
            out.push_back(part);
        }
    }
    if (!out.empty()) {
        std::erase_if(table.m_held, [](const auto& each) { return each.m_parts.empty(); });
        internal::update_counts(table);
    }
    return out;
}

auto admit(const part_table& table, const std::span<const part_id> parts, const time_point now) -> part_admission {
    part_admission out{};
    for (const auto& each : table.m_held) {
        if (now < each.m_until && internal::contains_all(parts, each.m_parts)) {
            return {part_decision::refuse, each.m_parts, each.m_until - now, true};
        }
    }
    out.m_parts = internal::suspects_among(table, parts);
    if (out.m_parts.empty()) {
        return out;
    }
    const auto on_trial =
        std::ranges::any_of(out.m_parts, [&](const part_id each) { return internal::is_on_trial(table, each, now); });
    out.m_decision = on_trial ? part_decision::refuse : part_decision::trial;
    out.m_retry_after = on_trial ? trial_retry_after : duration::zero();
    return out;
}

auto begin_trial(part_table& table, const std::span<const part_id> parts, const time_point now) -> void {
    for (const auto part : parts) {
        table.m_trials[part] = now + trial_timeout;
    }
}

auto end_trial(part_table& table, const std::span<const part_id> parts) -> void {
    for (const auto part : parts) {
        table.m_trials.erase(part);
    }
}

auto hold(part_table& table, const std::span<const part_id> parts, const incarnation_id server, const time_point now)
    -> held_parts {
    held_parts out{{parts.begin(), parts.end()}, {}, 0U, server};
    for (const auto& each : table.m_held) {
        std::vector<part_id> common{};
        std::ranges::copy_if(each.m_parts, std::back_inserter(common),
                             [parts](const part_id part) { return internal::contains(parts, part); });
        if (!common.empty()) {
            out.m_parts = std::move(common);
            out.m_holds = std::max(out.m_holds, each.m_holds);
        }
    }
    // The part with the most crashes explains those of the others.
    std::uint32_t most{};
    for (const auto part : out.m_parts) {
        most = std::max(most, count_crashes(table, part));
    }
    // Parts that were answered since they became suspect have no crash left; another request ended the server.
    if (most == 0U && out.m_holds == 0U) {
        end_trial(table, parts);
        return {};
    }
    std::erase_if(out.m_parts, [&](const part_id part) { return count_crashes(table, part) < most; });
    ++out.m_holds;
    out.m_until = now + internal::hold_time(out.m_holds);
    end_trial(table, parts);
    internal::insert_hold(table, out);
    return out;
}

auto merge_hold(part_table& table, const held_parts& other) -> bool {
    const auto is_known = std::ranges::any_of(table.m_held, [&other](const auto& each) {
        return internal::contains_all(other.m_parts, each.m_parts) && each.m_holds >= other.m_holds;
    });
    if (is_known || other.m_parts.empty()) {
        return false;
    }
    end_trial(table, other.m_parts);
    internal::insert_hold(table, other);
    return true;
}

auto count_crashes(const part_table& table, const part_id part) noexcept -> std::uint32_t {
    const auto found = table.m_counts.find(part);
    return found == table.m_counts.end() ? 0U : found->second;
}

auto evict_expired(part_table& table, const time_point now) -> void {
    std::erase_if(table.m_served, [now](const auto& each) { return now - each.second > served_window; });
    std::erase_if(table.m_trials, [now](const auto& each) { return now >= each.second; });
    const auto crashes =
        std::erase_if(table.m_crashes, [now](const auto& each) { return now - each.second.m_at > crash_retention; });
    const auto held =
        std::erase_if(table.m_held, [now](const auto& each) { return now - each.m_until > crash_retention; });
    if (crashes + held > 0U) {
        internal::update_counts(table);
    }
}

} // namespace rhubarbwharf::routing
