#include <algorithm>
#include <map>

#include <rhubarbwharf/fleet/relay.hpp>
#include <rhubarbwharf/loader/plan.hpp>

namespace rhubarbwharf::loader {

namespace {

/*! @brief Rank of this loader for fetching one piece; rank 0 goes first. */
struct piece_rank {
    /*! @brief Number of loaders of the own region that go first. */
    std::size_t m_loader_rank{};
    /*! @brief Number of regions that go first. */
    std::size_t m_region_rank{};
};

[[nodiscard]] auto rank_for_piece(const plan_input& in, const std::size_t piece) -> piece_rank {
    const auto own_weight = fleet::rendezvous_weight(in.m_instance, in.m_version, piece);
    piece_rank out{};
    std::map<std::string_view, std::uint64_t> best_by_region{};
    auto best_local_weight = own_weight;
    for (const auto& each : in.m_peers) {
        const auto peer_weight = fleet::rendezvous_weight(each.m_instance, in.m_version, piece);
        if (each.m_region == in.m_region) {
            out.m_loader_rank += peer_weight > own_weight ? 1U : 0U;
            best_local_weight = std::max(best_local_weight, peer_weight);
        } else {
            auto& highest = best_by_region[each.m_region];
            highest = std::max(highest, peer_weight);
        }
    }
    out.m_region_rank = static_cast<std::size_t>(std::ranges::count_if(
        best_by_region, [best_local_weight](const auto& each) { return each.second > best_local_weight; }));
    return out;
}

/*! @brief Peers that hold a piece: indices of the usable ones in the own and in other regions, and the number of all.
 */
struct piece_holders {
    std::vector<std::size_t> m_local{};
    std::vector<std::size_t> m_remote{};
    std::size_t m_count{};
};

[[nodiscard]] auto find_holders(const plan_input& in, const std::size_t piece) -> piece_holders {
    piece_holders out{};
    for (std::size_t index = 0U; index < in.m_peers.size(); ++index) {
        const auto& each = in.m_peers[index];
        if (piece >= each.m_pieces.size() || each.m_pieces[piece] != piece_state::held) {
            continue;
        }
        ++out.m_count;
        if (each.m_active_fetches < max_fetches_per_peer && in.m_now >= each.m_avoid_until) {
            (each.m_region == in.m_region ? out.m_local : out.m_remote).push_back(index);
        }
    }
    return out;
}

[[nodiscard]] auto pick(const std::vector<std::size_t>& from, const std::uint64_t random) -> std::size_t {
    return from[random % from.size()];
}

/*! @brief Checks whether a peer of the own region holds or is fetching a piece, regardless of the limit of fetches
 * from it. */
[[nodiscard]] auto is_in_region(const plan_input& in, const std::size_t piece) -> bool {
    return std::ranges::any_of(in.m_peers, [&](const peer& each) {
        return each.m_region == in.m_region && in.m_now >= each.m_avoid_until && piece < each.m_pieces.size() &&
               each.m_pieces[piece] != piece_state::missing;
    });
}

/*! @brief Chooses the source of a piece. @return Empty if it can't be fetched now. */
[[nodiscard]] auto choose_source(const plan_input& in, const std::size_t piece, const piece_holders& holders)
    -> std::optional<fetch> {
    if (!holders.m_local.empty() || is_in_region(in, piece)) {
        const auto must_wait = holders.m_local.empty() || in.m_defers_local_fetches;
        return must_wait ? std::nullopt : std::optional{fetch{piece, pick(holders.m_local, in.m_random), std::nullopt}};
    }
    const auto rank = rank_for_piece(in, piece);
    const auto region_delay = region_stagger * static_cast<int>(rank.m_loader_rank);
    if (!holders.m_remote.empty()) {
        return in.m_age < region_delay ? std::nullopt
                                       : std::optional{fetch{piece, pick(holders.m_remote, in.m_random), std::nullopt}};
    }
    const auto origin_delay = region_delay + origin_stagger * static_cast<int>(rank.m_region_rank);
    return in.m_origin_fetch_slots == 0U || in.m_age < origin_delay
               ? std::nullopt
               : std::optional{fetch{piece, std::nullopt, std::nullopt}};
}

/*! @brief Fetch that the relays allow. */
struct relay_choice {
    /*! @brief Whether any relay can be used, even if no further fetch from it can be started now. */
    bool m_usable{false};
    std::optional<fetch> m_fetch{};
};

/*! @brief Chooses a missing piece and the relay to fetch it from. @param refusing Whether to choose among the relays in
 * state `refusing` instead of the others. */
[[nodiscard]] auto choose_relay(const plan_input& in, const bool refusing) -> relay_choice {
    relay_choice out{};
    const auto count = in.m_pieces.size();
    for (std::size_t step = 0U; step < count && !out.m_fetch; ++step) {
        const auto piece = (step + in.m_random) % count;
        if (in.m_pieces[piece] != piece_state::missing) {
            continue;
        }
        std::optional<std::size_t> best{};
        std::uint64_t highest{};
        for (std::size_t index = 0U; index < in.m_relays.size(); ++index) {
            const auto& each = in.m_relays[index];
            const auto piece_weight = fleet::rendezvous_weight(each.m_instance, in.m_version, piece);
            const auto eligible = (each.m_state == relay_state::refusing) == refusing && in.m_now >= each.m_avoid_until;
            if (eligible && (!best || piece_weight > highest)) {
                best = index;
                highest = piece_weight;
            }
        }
        out.m_usable = best.has_value();
        if (best && in.m_relays[*best].m_active_fetches < max_fetches_per_peer) {
            out.m_fetch = fetch{piece, std::nullopt, best};
        }
    }
    return out;
}

} // namespace

auto is_complete(const std::span<const piece_state> pieces) noexcept -> bool {
    return !pieces.empty() &&
           std::ranges::all_of(pieces, [](const piece_state each) { return each == piece_state::held; });
}

auto concurrent_fetch_limit(const duration piece_transfer_time) noexcept -> unsigned {
    if (piece_transfer_time <= duration::zero()) {
        return initial_concurrent_fetches;
    }
    const auto limit =
        static_cast<unsigned>(std::min<duration::rep>(max_link_backlog / piece_transfer_time, max_concurrent_fetches));
    return std::max(limit, 1U);
}

auto next_fetch(const plan_input& in) -> std::optional<fetch> {
    const auto relayed = choose_relay(in, false);
    if (relayed.m_usable) {
        return relayed.m_fetch;
    }
    std::optional<fetch> best{};
    std::size_t best_count{};
    const auto count = in.m_pieces.size();
    for (std::size_t step = 0U; step < count; ++step) {
        const auto piece = (step + in.m_random) % count;
        if (in.m_pieces[piece] != piece_state::missing) {
            continue;
        }
        const auto holders = find_holders(in, piece);
        if (best && holders.m_count >= best_count) {
            continue;
        }
        const auto found = choose_source(in, piece, holders);
        if (!found) {
            continue;
        }
        best = found;
        best_count = holders.m_count;
    }
    if (best) {
        return best;
    }
    return relayed.m_fetch ? relayed.m_fetch : choose_relay(in, true).m_fetch;
}

namespace {

/*! @brief Position of a loader in the load order of its region. */
struct load_position {
    std::uint64_t m_held_version{};
    std::uint64_t m_weight{};

    [[nodiscard]] auto precedes(const load_position& other) const noexcept -> bool {
        return m_held_version != other.m_held_version ? m_held_version < other.m_held_version
                                                      : m_weight > other.m_weight;
    }
};

[[nodiscard]] auto own_position(const plan_input& in) -> load_position {
    return {in.m_held_version, fleet::rendezvous_weight(in.m_instance, in.m_version, 0U)};
}

[[nodiscard]] auto position_of(const plan_input& in, const peer& other) -> load_position {
    return {other.m_held_version, fleet::rendezvous_weight(other.m_instance, in.m_version, 0U)};
}

/*! @brief Returns the positions of the region's loaders, starting with the own one, otherwise unsorted. */
[[nodiscard]] auto region_positions(const plan_input& in) -> std::vector<load_position> {
    std::vector<load_position> out{own_position(in)};
    for (const auto& each : in.m_peers) {
        if (each.m_region == in.m_region) {
            out.push_back(position_of(in, each));
        }
    }
    return out;
}

[[nodiscard]] auto is_in_first_group(const std::span<const load_position> positions, const load_position& own) -> bool {
    const auto ahead =
        std::ranges::count_if(positions, [&own](const load_position& each) { return each.precedes(own); });
    return static_cast<double>(ahead) < first_group_share * static_cast<double>(positions.size());
}

} // namespace

auto defers_local_fetches(const plan_input& in) -> bool {
    const auto positions = region_positions(in);
    if (in.m_age >= first_group_timeout || is_in_first_group(positions, positions.front())) {
        return false;
    }
    return std::ranges::any_of(in.m_peers, [&](const peer& each) {
        return each.m_region == in.m_region && !is_complete(each.m_pieces) &&
               is_in_first_group(positions, position_of(in, each));
    });
}

auto decide_load(const duration age, const duration round_time, const unsigned verifications) noexcept
    -> load_decision {
    const auto may_be_faster = round_time <= max_verification_age && verifications < max_verifications;
    return age > max_verification_age && may_be_faster ? load_decision::verify_again : load_decision::order;
}

auto estimate_round_time(const duration read_time, const std::size_t pieces) noexcept -> duration {
    const auto total = std::max(read_time, duration::zero()) * static_cast<duration::rep>(pieces);
    return total / static_cast<duration::rep>(concurrent_read_limit(read_time, pieces));
}

auto concurrent_read_limit(const duration read_time, const std::size_t pieces) noexcept -> unsigned {
    const auto total = std::max(read_time, duration::zero()) * static_cast<duration::rep>(pieces);
    const auto limit = (total + verification_target_time - duration{1}) / verification_target_time;
    return static_cast<unsigned>(std::clamp<duration::rep>(limit, 1, static_cast<duration::rep>(max_concurrent_reads)));
}

auto adjust_read_limit(const unsigned limit, const bool answered, const duration read_time) noexcept -> unsigned {
    if (!answered) {
        return std::max(limit / 2U, 1U);
    }
    return read_time <= max_growth_read_time ? std::min(limit + 1U, max_concurrent_reads) : limit;
}

auto defers_load(const plan_input& in) -> bool {
    if (in.m_held_version == 0U || in.m_version_age >= in.m_max_load_delay) {
        return false;
    }
    const auto own = own_position(in);
    std::size_t loaders{1U};
    std::size_t ahead{};
    for (const auto& each : in.m_peers) {
        if (each.m_region != in.m_region) {
            continue;
        }
        ++loaders;
        const auto will_load = each.m_held_version != 0U && each.m_held_version < in.m_version;
        ahead += each.m_loading || (will_load && position_of(in, each).precedes(own)) ? 1U : 0U;
    }
    return static_cast<double>(ahead) >= first_group_share * static_cast<double>(loaders);
}

} // namespace rhubarbwharf::loader
