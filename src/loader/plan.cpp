#include <algorithm>
#include <map>

#include <rhubarbwharf/fleet/relay.hpp>
#include <rhubarbwharf/loader/plan.hpp>

namespace rhubarbwharf::loader {

namespace {

/*! @brief Place of this loader in the lines for one piece. */
struct standing {
    /*! @brief Loaders of the own region that come first. */
    std::size_t m_in_region{};
    /*! @brief Regions whose first loader comes first. */
    std::size_t m_of_regions{};
};

[[nodiscard]] auto standing_of(const plan_input& in, const std::size_t piece) -> standing {
    const auto own = fleet::weight(in.m_instance, in.m_version, piece);
    standing out{};
    std::map<std::string_view, std::uint64_t> best{};
    auto best_own = own;
    for (const auto& each : in.m_peers) {
        const auto theirs = fleet::weight(each.m_instance, in.m_version, piece);
        if (each.m_region == in.m_region) {
            out.m_in_region += theirs > own ? 1U : 0U;
            best_own = std::max(best_own, theirs);
        } else {
            auto& most = best[each.m_region];
            most = std::max(most, theirs);
        }
    }
    out.m_of_regions = static_cast<std::size_t>(
        std::ranges::count_if(best, [best_own](const auto& each) { return each.second > best_own; }));
    return out;
}

/*! @brief Peers that have a piece, near or far. */
struct holders {
    std::vector<std::size_t> m_near{};
    std::vector<std::size_t> m_far{};
    std::size_t m_count{};
};

[[nodiscard]] auto holders_of(const plan_input& in, const std::size_t piece) -> holders {
    holders out{};
    for (std::size_t index = 0U; index < in.m_peers.size(); ++index) {
        const auto& each = in.m_peers[index];
        if (piece >= each.m_has.size() || each.m_has[piece] != piece_state::held) {
            continue;
        }
        ++out.m_count;
        if (each.m_fetches < most_fetches_of_peer && in.m_now >= each.m_avoid_until) {
            (each.m_region == in.m_region ? out.m_near : out.m_far).push_back(index);
        }
    }
    return out;
}

[[nodiscard]] auto pick(const std::vector<std::size_t>& from, const std::uint64_t random) -> std::size_t {
    return from[random % from.size()];
}

/*! @brief Tells whether a peer of the own region has a piece, busy or not, or is about to have it. */
[[nodiscard]] auto is_near(const plan_input& in, const std::size_t piece) -> bool {
    return std::ranges::any_of(in.m_peers, [&](const peer& each) {
        return each.m_region == in.m_region && in.m_now >= each.m_avoid_until && piece < each.m_has.size() &&
               each.m_has[piece] != piece_state::missing;
    });
}

/*! @brief Decides from whom a piece may be fetched now. */
[[nodiscard]] auto source_of(const plan_input& in, const std::size_t piece, const holders& have)
    -> std::optional<fetch> {
    if (!have.m_near.empty() || is_near(in, piece)) {
        const auto waits = have.m_near.empty() || in.m_yields;
        return waits ? std::nullopt : std::optional{fetch{piece, pick(have.m_near, in.m_random), std::nullopt}};
    }
    const auto place = standing_of(in, piece);
    const auto line = region_stagger * static_cast<int>(place.m_in_region);
    if (!have.m_far.empty()) {
        return in.m_age < line ? std::nullopt
                               : std::optional{fetch{piece, pick(have.m_far, in.m_random), std::nullopt}};
    }
    const auto turn = line + origin_stagger * static_cast<int>(place.m_of_regions);
    return in.m_origin_room == 0U || in.m_age < turn ? std::nullopt
                                                     : std::optional{fetch{piece, std::nullopt, std::nullopt}};
}

/*! @brief Tells whether so many loaders of the region hold a version whole that their links suffice for the others. */
[[nodiscard]] auto peers_suffice(const plan_input& in) -> bool {
    std::size_t loaders{1U};
    std::size_t whole{};
    for (const auto& each : in.m_peers) {
        if (each.m_region != in.m_region) {
            continue;
        }
        ++loaders;
        whole += is_whole(each.m_has) && in.m_now >= each.m_avoid_until ? 1U : 0U;
    }
    return static_cast<double>(whole) >= sufficient_part * static_cast<double>(loaders);
}

/*! @brief What the gateways nearby can give. */
struct relayed {
    /*! @brief Whether any of them answers; the other loaders are left alone then. */
    bool m_usable{false};
    std::optional<fetch> m_fetch{};
};

[[nodiscard]] auto from_relays(const plan_input& in, const bool refusing) -> relayed {
    relayed out{};
    const auto count = in.m_pieces.size();
    for (std::size_t step = 0U; step < count && !out.m_fetch; ++step) {
        const auto piece = (step + in.m_random) % count;
        if (in.m_pieces[piece] != piece_state::missing) {
            continue;
        }
        std::optional<std::size_t> best{};
        std::uint64_t most{};
        for (std::size_t index = 0U; index < in.m_relays.size(); ++index) {
            const auto& each = in.m_relays[index];
            const auto value = fleet::weight(each.m_instance, in.m_version, piece);
            const auto fits = (each.m_state == relay_state::refuses) == refusing && in.m_now >= each.m_avoid_until;
            if (fits && (!best || value > most)) {
                best = index;
                most = value;
            }
        }
        out.m_usable = best.has_value();
        if (best && in.m_relays[*best].m_fetches < most_fetches_of_peer) {
            out.m_fetch = fetch{piece, std::nullopt, best};
        }
    }
    return out;
}

} // namespace

auto is_whole(const std::span<const piece_state> pieces) noexcept -> bool {
    return !pieces.empty() &&
           std::ranges::all_of(pieces, [](const piece_state each) { return each == piece_state::held; });
}

auto fetches_at_once(const duration piece_time) noexcept -> unsigned {
    if (piece_time <= duration::zero()) {
        return first_fetches;
    }
    const auto fits = static_cast<unsigned>(std::min<duration::rep>(link_backlog / piece_time, most_fetches));
    return std::max(fits, 1U);
}

auto next_fetch(const plan_input& in) -> std::optional<fetch> {
    const auto near = from_relays(in, false);
    if (near.m_usable && !peers_suffice(in)) {
        return near.m_fetch;
    }
    std::optional<fetch> best{};
    std::size_t best_count{};
    const auto count = in.m_pieces.size();
    for (std::size_t step = 0U; step < count; ++step) {
        const auto piece = (step + in.m_random) % count;
        if (in.m_pieces[piece] != piece_state::missing) {
            continue;
        }
        const auto have = holders_of(in, piece);
        if (best && have.m_count >= best_count) {
            continue;
        }
        const auto found = source_of(in, piece, have);
        if (!found) {
            continue;
        }
        best = found;
        best_count = have.m_count;
    }
    if (best) {
        return best;
    }
    return near.m_fetch ? near.m_fetch : from_relays(in, true).m_fetch;
}

namespace {

/*! @brief Place of a loader in the line of its region. */
struct turn {
    std::uint64_t m_held{};
    std::uint64_t m_weight{};

    [[nodiscard]] auto before(const turn& other) const noexcept -> bool {
        return m_held != other.m_held ? m_held < other.m_held : m_weight > other.m_weight;
    }
};

[[nodiscard]] auto own_turn(const plan_input& in) -> turn {
    return {in.m_held, fleet::weight(in.m_instance, in.m_version, 0U)};
}

[[nodiscard]] auto turn_of(const plan_input& in, const peer& other) -> turn {
    return {other.m_held, fleet::weight(other.m_instance, in.m_version, 0U)};
}

/*! @brief Loaders of the own region in line, the own one first in the list. */
[[nodiscard]] auto turns_of(const plan_input& in) -> std::vector<turn> {
    std::vector<turn> out{own_turn(in)};
    for (const auto& each : in.m_peers) {
        if (each.m_region == in.m_region) {
            out.push_back(turn_of(in, each));
        }
    }
    return out;
}

[[nodiscard]] auto is_first(const std::span<const turn> turns, const turn& own) -> bool {
    const auto before = std::ranges::count_if(turns, [&own](const turn& each) { return each.before(own); });
    return static_cast<double>(before) < first_part * static_cast<double>(turns.size());
}

} // namespace

auto yields(const plan_input& in) -> bool {
    const auto turns = turns_of(in);
    if (in.m_age >= first_part_time || is_first(turns, turns.front())) {
        return false;
    }
    return std::ranges::any_of(in.m_peers, [&](const peer& each) {
        return each.m_region == in.m_region && !is_whole(each.m_has) && is_first(turns, turn_of(in, each));
    });
}

auto loads_later(const plan_input& in) -> bool {
    if (in.m_held == 0U || in.m_age >= in.m_load_by) {
        return false;
    }
    const auto own = own_turn(in);
    std::size_t loaders{1U};
    std::size_t before{};
    for (const auto& each : in.m_peers) {
        if (each.m_region != in.m_region) {
            continue;
        }
        ++loaders;
        const auto loads = each.m_held != 0U && each.m_held < in.m_version;
        before += each.m_loading || (loads && turn_of(in, each).before(own)) ? 1U : 0U;
    }
    return static_cast<double>(before) >= first_part * static_cast<double>(loaders);
}

} // namespace rhubarbwharf::loader
