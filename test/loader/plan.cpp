#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include <rhubarbwharf/loader/plan.hpp>

namespace rhubarbwharf::loader {

namespace {

constexpr std::size_t pieces = 48U;

/*! @brief Loaders of some regions that fetch a version in rounds; each round every loader begins and ends one fetch. */
struct swarm {
    std::vector<std::string> m_names{};
    std::vector<std::string> m_regions{};
    std::vector<std::vector<piece_state>> m_has{};
    std::vector<bool> m_dead{};
    std::size_t m_from_origin{};
    std::map<std::string, std::size_t> m_into_region{};

    swarm(const std::size_t regions, const std::size_t in_region) {
        for (std::size_t region = 0U; region < regions; ++region) {
            for (std::size_t index = 0U; index < in_region; ++index) {
                m_regions.push_back("region-" + std::to_string(region));
                m_names.push_back(m_regions.back() + "-" + std::to_string(index));
            }
        }
        m_has.assign(m_names.size(), std::vector<piece_state>(pieces, piece_state::missing));
        m_dead.assign(m_names.size(), false);
    }

    [[nodiscard]] auto peers_of(const std::size_t self) const -> std::vector<peer> {
        std::vector<peer> out{};
        for (std::size_t index = 0U; index < m_names.size(); ++index) {
            if (index != self) {
                out.push_back({m_names[index], m_regions[index],
                               m_dead[index] ? std::vector<piece_state>{} : m_has[index], 0U, 0U, time_point{}, false});
            }
        }
        return out;
    }

    auto step(const std::size_t self, const duration age, const std::uint64_t random) -> void {
        const auto peers = peers_of(self);
        plan_input in{};
        in.m_instance = m_names[self];
        in.m_region = m_regions[self];
        in.m_version = 2U;
        in.m_pieces = m_has[self];
        in.m_peers = peers;
        in.m_age = age;
        in.m_random = random;
        in.m_origin_room = 1U;
        if (const auto chosen = next_fetch(in)) {
            m_has[self][chosen->m_piece] = piece_state::held;
            m_from_origin += chosen->m_peer ? 0U : 1U;
            const auto far = !chosen->m_peer || peers[*chosen->m_peer].m_region != m_regions[self];
            m_into_region[m_regions[self]] += far ? 1U : 0U;
        }
    }

    [[nodiscard]] auto play(const duration limit) -> duration {
        constexpr duration round = std::chrono::milliseconds{50};
        std::uint64_t random = 20'261'203U;
        for (duration age{}; age < limit; age += round) {
            auto whole = true;
            for (std::size_t self = 0U; self < m_names.size(); ++self) {
                random = random * 6'364'136'223'846'793'005ULL + 1U;
                if (!m_dead[self]) {
                    step(self, age, random >> 20U);
                    whole = whole && std::ranges::count(m_has[self], piece_state::held) == pieces;
                }
            }
            if (whole) {
                return age;
            }
        }
        return limit;
    }
};

} // namespace

TEST_CASE("a new version leaves the origin once and enters each region once") {
    swarm all{3U, 8U};
    CHECK(all.play(std::chrono::seconds{10}) < std::chrono::seconds{5});
    CHECK(all.m_from_origin <= pieces + pieces / 10U);
    for (const auto& [region, count] : all.m_into_region) {
        CHECK(count <= pieces + pieces / 10U);
    }
}

TEST_CASE("a loader that is listed but dead holds a version up by its turn alone") {
    swarm all{2U, 4U};
    all.m_dead[0] = true;
    all.m_dead[5] = true;
    CHECK(all.play(std::chrono::seconds{20}) < std::chrono::seconds{8});
}

TEST_CASE("a single newcomer takes pieces from its region and leaves the origin alone") {
    swarm all{2U, 4U};
    for (std::size_t index = 1U; index < all.m_names.size(); ++index) {
        std::ranges::fill(all.m_has[index], piece_state::held);
    }
    CHECK(all.play(std::chrono::seconds{10}) < std::chrono::seconds{4});
    CHECK(all.m_from_origin == 0U);
    CHECK(all.m_into_region["region-0"] == 0U);
}

TEST_CASE("what a peer of the region is fetching is waited for") {
    swarm all{1U, 2U};
    all.m_has[1].assign(pieces, piece_state::fetching);
    all.step(0U, std::chrono::seconds{30}, 3U);
    CHECK(all.m_from_origin == 0U);
}

TEST_CASE("half of a region has a new version first, those with the oldest version before the others") {
    swarm all{1U, 8U};
    const auto input_of = [&](const std::size_t self, const std::vector<peer>& peers, const std::uint64_t held) {
        plan_input in{};
        in.m_instance = all.m_names[self];
        in.m_region = all.m_regions[self];
        in.m_version = 3U;
        in.m_held = held;
        in.m_pieces = all.m_has[self];
        in.m_peers = peers;
        return in;
    };
    const auto count_yielding = [&] {
        auto count = 0;
        for (std::size_t self = 0U; self < all.m_names.size(); ++self) {
            const auto peers = all.peers_of(self);
            count += yields(input_of(self, peers, 0U)) ? 1 : 0;
        }
        return count;
    };
    CHECK(count_yielding() == 4);
    auto peers = all.peers_of(0U);
    for (auto& each : peers) {
        each.m_held = 2U;
    }
    CHECK_FALSE(yields(input_of(0U, peers, 1U)));
    for (auto& each : peers) {
        each.m_held = 1U;
    }
    auto late = input_of(0U, peers, 2U);
    CHECK(yields(late));
    late.m_age = first_part_time;
    CHECK_FALSE(yields(late));
    for (auto& each : peers) {
        std::ranges::fill(each.m_has, piece_state::held);
    }
    late.m_age = {};
    CHECK_FALSE(yields(late));
}

TEST_CASE("pieces come from the gateways nearby, each from the same one, and from other loaders only without them") {
    const std::vector<piece_state> none(pieces, piece_state::missing);
    const std::vector<piece_state> all(pieces, piece_state::held);
    std::vector<relay> relays{{"gateway-0", 0U, {}, relay_state::gives},
                              {"gateway-1", 0U, {}, relay_state::gives},
                              {"gateway-2", 0U, {}, relay_state::gives}};
    std::vector<peer> peers{{"other", "region-0", all, 2U, 0U, {}, false},
                            {"third", "region-0", none, 1U, 0U, {}, false},
                            {"fourth", "region-0", none, 1U, 0U, {}, false}};
    plan_input in{};
    in.m_instance = "own";
    in.m_region = "region-0";
    in.m_version = 2U;
    in.m_pieces = none;
    in.m_peers = peers;
    in.m_relays = relays;
    in.m_now = time_point{std::chrono::hours{1}};
    std::map<std::size_t, std::size_t> source_of{};
    std::map<std::size_t, std::size_t> shares{};
    for (std::size_t piece = 0U; piece < pieces; ++piece) {
        in.m_random = piece;
        const auto chosen = next_fetch(in);
        REQUIRE(chosen);
        REQUIRE(chosen->m_relay);
        CHECK(chosen->m_piece == piece);
        CHECK_FALSE(chosen->m_peer);
        source_of[piece] = *chosen->m_relay;
        ++shares[*chosen->m_relay];
    }
    for (const auto& [index, count] : shares) {
        CHECK(count >= pieces / 6U);
    }
    in.m_instance = "third";
    in.m_random = 7U;
    CHECK(next_fetch(in)->m_relay == source_of[7U]);

    peers[1].m_has = all;
    CHECK(next_fetch(in)->m_peer);
    peers[1].m_has = none;

    relays[source_of[7U]].m_avoid_until = in.m_now + std::chrono::seconds{1};
    const auto instead = next_fetch(in);
    REQUIRE(instead->m_relay);
    CHECK(*instead->m_relay != source_of[7U]);

    for (auto& each : relays) {
        each.m_fetches = most_fetches_of_peer;
    }
    CHECK_FALSE(next_fetch(in));
    for (auto& each : relays) {
        each.m_avoid_until = in.m_now + std::chrono::seconds{1};
    }
    const auto swapped = next_fetch(in);
    REQUIRE(swapped);
    CHECK(swapped->m_peer);

    for (auto& each : relays) {
        each = {each.m_instance, 0U, {}, relay_state::refuses};
    }
    CHECK(next_fetch(in)->m_peer);
    in.m_peers = {};
    CHECK(next_fetch(in)->m_relay);
}

TEST_CASE("over a slow link few pieces are on their way, so that what the runner is sent does not wait behind them") {
    CHECK(fetches_at_once(duration::zero()) == first_fetches);
    CHECK(fetches_at_once(std::chrono::milliseconds{42}) == most_fetches);
    CHECK(fetches_at_once(std::chrono::milliseconds{100}) == 2U);
    CHECK(fetches_at_once(std::chrono::milliseconds{350}) == 1U);
    CHECK(fetches_at_once(std::chrono::seconds{3}) == 1U);
}

TEST_CASE("at most half of a region's runners are told to load at once") {
    constexpr std::size_t loaders = 6U;
    constexpr auto version = std::uint64_t{3U};
    std::vector<std::uint64_t> held(loaders, 2U);
    std::vector<bool> loading(loaders, false);
    const auto waits = [&](const std::size_t self, const duration age) {
        std::vector<peer> peers{};
        for (std::size_t index = 0U; index < loaders; ++index) {
            if (index != self) {
                peers.push_back(
                    {"loader-" + std::to_string(index), "region-0", {}, held[index], 0U, {}, loading[index]});
            }
        }
        const auto name = "loader-" + std::to_string(self);
        plan_input in{};
        in.m_instance = name;
        in.m_region = "region-0";
        in.m_version = version;
        in.m_held = held[self];
        in.m_peers = peers;
        in.m_age = age;
        in.m_load_by = std::chrono::seconds{5};
        return loads_later(in);
    };
    std::size_t most{};
    for (auto round = 0; round < 3; ++round) {
        for (std::size_t index = 0U; index < loaders; ++index) {
            if (held[index] == 2U && !loading[index] && !waits(index, std::chrono::seconds{2})) {
                loading[index] = true;
                held[index] = 0U;
            }
        }
        most = std::max(most, static_cast<std::size_t>(std::ranges::count(loading, true)));
        for (std::size_t index = 0U; index < loaders; ++index) {
            if (loading[index]) {
                loading[index] = false;
                held[index] = version;
            }
        }
    }
    CHECK(most == loaders / 2U);
    CHECK(std::ranges::count(held, version) == static_cast<std::ptrdiff_t>(loaders));

    held.assign(loaders, 2U);
    std::size_t waiting{};
    for (std::size_t index = 0U; index < loaders; ++index) {
        waiting += waits(index, std::chrono::seconds{2}) ? 1U : 0U;
        CHECK_FALSE(waits(index, std::chrono::seconds{6}));
    }
    CHECK(waiting == loaders / 2U);
    held[0] = 0U;
    CHECK_FALSE(waits(0U, std::chrono::seconds{2}));
}

} // namespace rhubarbwharf::loader
