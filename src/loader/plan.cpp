#include <algorithm>
#include <map>

#include <rhubarbwharf/loader/plan.hpp>

namespace rhubarbwharf::loader {

namespace {

/*! @brief Mixes a name, a version and a piece into one number (FNV-1a with a final mix). */
[[nodiscard]] auto weight(const std::string_view name, const std::uint64_t version, const std::uint64_t piece) noexcept
    -> std::uint64_t {
    constexpr std::uint64_t offset = 14'695'981'039'346'656'037ULL;
    constexpr std::uint64_t prime = 1'099'511'628'211ULL;
    constexpr std::uint64_t mixer = 0x9e3779b97f4a7c15ULL;
    constexpr unsigned half = 32U;
    auto out = offset;
    for (const auto letter : name) {
        out = (out ^ static_cast<unsigned char>(letter)) * prime;
    }
    out = (out ^ (version * mixer)) * prime;
    out = (out ^ (piece * mixer)) * prime;
    return out ^ (out >> half);
}

/*! @brief Place of this loader in the lines for one piece. */
struct standing {
    /*! @brief Loaders of the own region that come first. */
    std::size_t m_in_region{};
    /*! @brief Regions whose first loader comes first. */
    std::size_t m_of_regions{};
};

[[nodiscard]] auto standing_of(const plan_input& in, const std::size_t piece) -> standing {
    const auto own = weight(in.m_instance, in.m_version, piece);
    standing out{};
    std::map<std::string_view, std::uint64_t> best{};
    auto best_own = own;
    for (const auto& each : in.m_peers) {
        const auto theirs = weight(each.m_instance, in.m_version, piece);
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
        return waits ? std::nullopt : std::optional{fetch{piece, pick(have.m_near, in.m_random)}};
    }
    const auto place = standing_of(in, piece);
    const auto line = region_stagger * static_cast<int>(place.m_in_region);
    if (!have.m_far.empty()) {
        return in.m_age < line ? std::nullopt : std::optional{fetch{piece, pick(have.m_far, in.m_random)}};
    }
    const auto turn = line + origin_stagger * static_cast<int>(place.m_of_regions);
    return in.m_origin_room == 0U || in.m_age < turn ? std::nullopt : std::optional{fetch{piece, std::nullopt}};
}

} // namespace

auto next_fetch(const plan_input& in) -> std::optional<fetch> {
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
    return best;
}

auto yields(const plan_input& in) -> bool {
    struct turn {
        std::uint64_t m_held{};
        std::uint64_t m_weight{};

        [[nodiscard]] auto before(const turn& other) const noexcept -> bool {
            return m_held != other.m_held ? m_held < other.m_held : m_weight > other.m_weight;
        }
    };

    std::vector<turn> turns{{in.m_held, weight(in.m_instance, in.m_version, 0U)}};
    for (const auto& each : in.m_peers) {
        if (each.m_region == in.m_region) {
            turns.push_back({each.m_held, weight(each.m_instance, in.m_version, 0U)});
        }
    }
    const auto is_first = [&turns](const turn& own) {
        const auto before = std::ranges::count_if(turns, [&own](const turn& each) { return each.before(own); });
        return static_cast<double>(before) < first_part * static_cast<double>(turns.size());
    };
    if (in.m_age >= first_part_time || is_first(turns.front())) {
        return false;
    }
    return std::ranges::any_of(in.m_peers, [&](const peer& each) {
        const auto whole = !each.m_has.empty() && std::ranges::all_of(each.m_has, [](const piece_state state) {
            return state == piece_state::held;
        });
        return each.m_region == in.m_region && !whole &&
               is_first({each.m_held, weight(each.m_instance, in.m_version, 0U)});
    });
}

} // namespace rhubarbwharf::loader
