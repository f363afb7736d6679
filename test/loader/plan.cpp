#include <algorithm>
#include <map>

#include <doctest/doctest.h>

#include <rhubarbwharf/loader/plan.hpp>

namespace rhubarbwharf::loader {

namespace {

constexpr std::size_t piece_count = 48U;

/*! @brief Simulates the loaders of several regions that fetch a version in rounds; in each round every loader starts
 * and completes at most one fetch. */
struct swarm {
    std::vector<std::string> m_names{};
    std::vector<std::string> m_regions{};
    std::vector<std::vector<piece_state>> m_pieces{};
    std::vector<bool> m_unreachable{};
    std::size_t m_origin_fetches{};
    std::map<std::string, std::size_t> m_fetches_into_region{};

    swarm(const std::size_t regions, const std::size_t in_region) {
        for (std::size_t region = 0U; region < regions; ++region) {
            for (std::size_t index = 0U; index < in_region; ++index) {
                m_regions.push_back("region-" + std::to_string(region));
                m_names.push_back(m_regions.back() + "-" + std::to_string(index));
            }
        }
        m_pieces.assign(m_names.size(), std::vector<piece_state>(piece_count, piece_state::missing));
        m_unreachable.assign(m_names.size(), false);
    }

    [[nodiscard]] auto peers_of(const std::size_t self) const -> std::vector<peer> {
        std::vector<peer> out{};
        for (std::size_t index = 0U; index < m_names.size(); ++index) {
            if (index != self) {
                out.push_back({m_names[index], m_regions[index],
                               m_unreachable[index] ? std::vector<piece_state>{} : m_pieces[index], 0U, 0U,
                               time_point{}, false});
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
        in.m_pieces = m_pieces[self];
        in.m_peers = peers;
        in.m_age = age;
        in.m_random = random;
        in.m_origin_fetch_slots = 1U;
        if (const auto chosen = next_fetch(in)) {
            m_pieces[self][chosen->m_piece] = piece_state::held;
            m_origin_fetches += chosen->m_peer ? 0U : 1U;
            const auto is_remote = !chosen->m_peer || peers[*chosen->m_peer].m_region != m_regions[self];
            m_fetches_into_region[m_regions[self]] += is_remote ? 1U : 0U;
        }
    }

    [[nodiscard]] auto run_until_complete(const duration limit) -> duration {
        constexpr duration round = std::chrono::milliseconds{50};
        std::uint64_t random = 20'261'203U;
        for (duration age{}; age < limit; age += round) {
            auto complete = true;
            for (std::size_t self = 0U; self < m_names.size(); ++self) {
                random = random * 6'364'136'223'846'793'005ULL + 1U;
                if (!m_unreachable[self]) {
                    step(self, age, random >> 20U);
                    complete = complete && std::ranges::count(m_pieces[self], piece_state::held) == piece_count;
                }
            }
            if (complete) {
                return age;
            }
        }
        return limit;
    }
};

} // namespace

TEST_CASE("a new version is read from the origin once and brought into each region once") {
    swarm loaders{3U, 8U};
    CHECK(loaders.run_until_complete(std::chrono::seconds{10}) < std::chrono::seconds{5});
    CHECK(loaders.m_origin_fetches <= piece_count + piece_count / 10U);
    for (const auto& [region, count] : loaders.m_fetches_into_region) {
        CHECK(count <= piece_count + piece_count / 10U);
    }
}

TEST_CASE("a listed loader that does not respond delays a version only by its own stagger") {
    swarm loaders{2U, 4U};
    loaders.m_unreachable[0] = true;
    loaders.m_unreachable[5] = true;
    CHECK(loaders.run_until_complete(std::chrono::seconds{20}) < std::chrono::seconds{8});
}

TEST_CASE("a single new loader fetches pieces from its region and none from the origin") {
    swarm loaders{2U, 4U};
    for (std::size_t index = 1U; index < loaders.m_names.size(); ++index) {
        std::ranges::fill(loaders.m_pieces[index], piece_state::held);
    }
    CHECK(loaders.run_until_complete(std::chrono::seconds{10}) < std::chrono::seconds{4});
    CHECK(loaders.m_origin_fetches == 0U);
    CHECK(loaders.m_fetches_into_region["region-0"] == 0U);
}

TEST_CASE("a piece that a peer of the region is fetching is not fetched elsewhere") {
    swarm loaders{1U, 2U};
    loaders.m_pieces[1].assign(piece_count, piece_state::fetching);
    loaders.step(0U, std::chrono::seconds{30}, 3U);
    CHECK(loaders.m_origin_fetches == 0U);
}

TEST_CASE(
    "half of the loaders of a region complete a new version first, starting with those that hold the oldest version") {
    swarm loaders{1U, 8U};
    const auto input_of = [&](const std::size_t self, const std::vector<peer>& peers, const std::uint64_t held) {
        plan_input out{};
        out.m_instance = loaders.m_names[self];
        out.m_region = loaders.m_regions[self];
        out.m_version = 3U;
        out.m_held_version = held;
        out.m_pieces = loaders.m_pieces[self];
        out.m_peers = peers;
        return out;
    };
    const auto count_deferring = [&] {
        auto count = 0;
        for (std::size_t self = 0U; self < loaders.m_names.size(); ++self) {
            const auto peers = loaders.peers_of(self);
            count += defers_local_fetches(input_of(self, peers, 0U)) ? 1 : 0;
        }
        return count;
    };
    CHECK(count_deferring() == 4);
    auto peers = loaders.peers_of(0U);
    for (auto& each : peers) {
        each.m_held_version = 2U;
    }
    CHECK_FALSE(defers_local_fetches(input_of(0U, peers, 1U)));
    for (auto& each : peers) {
        each.m_held_version = 1U;
    }
    auto input = input_of(0U, peers, 2U);
    CHECK(defers_local_fetches(input));
    input.m_age = first_group_timeout;
    CHECK_FALSE(defers_local_fetches(input));
    for (auto& each : peers) {
        std::ranges::fill(each.m_pieces, piece_state::held);
    }
    input.m_age = {};
    CHECK_FALSE(defers_local_fetches(input));
}

// Load pattern: seventy empty runners are added to a hundred that serve. Those sent each of them pieces over their own
// links, so that the new ones took up to 8 s and the answers of the old ones came late.
TEST_CASE("each piece comes from a fixed gateway of the data centre, whoever holds it, and from other loaders if no "
          "gateway is usable") {
    const std::vector<piece_state> none(piece_count, piece_state::missing);
    const std::vector<piece_state> all(piece_count, piece_state::held);
    std::vector<relay> relays{{"gateway-0", 0U, {}, relay_state::available},
                              {"gateway-1", 0U, {}, relay_state::available},
                              {"gateway-2", 0U, {}, relay_state::available}};
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
    std::map<std::size_t, std::size_t> relay_of{};
    std::map<std::size_t, std::size_t> shares{};
    for (std::size_t piece = 0U; piece < piece_count; ++piece) {
        in.m_random = piece;
        const auto chosen = next_fetch(in);
        REQUIRE(chosen);
        REQUIRE(chosen->m_relay);
        CHECK(chosen->m_piece == piece);
        CHECK_FALSE(chosen->m_peer);
        relay_of[piece] = *chosen->m_relay;
        ++shares[*chosen->m_relay];
    }
    for (const auto& [index, count] : shares) {
        CHECK(count >= piece_count / 6U);
    }
    in.m_instance = "third";
    in.m_random = 7U;
    CHECK(next_fetch(in)->m_relay == relay_of[7U]);

    peers[1].m_pieces = all;
    CHECK(next_fetch(in)->m_relay == relay_of[7U]);
    peers[1].m_pieces = none;

    relays[relay_of[7U]].m_avoid_until = in.m_now + std::chrono::seconds{1};
    const auto fallback = next_fetch(in);
    REQUIRE(fallback->m_relay);
    CHECK(*fallback->m_relay != relay_of[7U]);

    for (auto& each : relays) {
        each.m_active_fetches = max_fetches_per_peer;
    }
    CHECK_FALSE(next_fetch(in));
    for (auto& each : relays) {
        each.m_avoid_until = in.m_now + std::chrono::seconds{1};
    }
    const auto from_peer = next_fetch(in);
    REQUIRE(from_peer);
    CHECK(from_peer->m_peer);

    for (auto& each : relays) {
        each = {each.m_instance, 0U, {}, relay_state::refusing};
    }
    CHECK(next_fetch(in)->m_peer);
    in.m_peers = {};
    CHECK(next_fetch(in)->m_relay);
}

TEST_CASE("few pieces are in transfer over a slow link, so that requests to the runner are not queued behind them") {
    CHECK(concurrent_fetch_limit(duration::zero()) == initial_concurrent_fetches);
    CHECK(concurrent_fetch_limit(std::chrono::milliseconds{42}) == max_concurrent_fetches);
    CHECK(concurrent_fetch_limit(std::chrono::milliseconds{100}) == 2U);
    CHECK(concurrent_fetch_limit(std::chrono::milliseconds{350}) == 1U);
    CHECK(concurrent_fetch_limit(std::chrono::seconds{3}) == 1U);
}

TEST_CASE("at most half of a region's runners are ordered to load at once") {
    constexpr std::size_t loaders = 6U;
    constexpr auto version = std::uint64_t{3U};
    std::vector<std::uint64_t> held(loaders, 2U);
    std::vector<bool> loading(loaders, false);
    // No loader has known the version for long, however old it is.
    const auto defers = [&](const std::size_t self, const duration age) {
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
        in.m_held_version = held[self];
        in.m_peers = peers;
        in.m_version_age = age;
        in.m_max_load_delay = std::chrono::seconds{5};
        return defers_load(in);
    };
    std::size_t max_loading{};
    for (auto round = 0; round < 3; ++round) {
        for (std::size_t index = 0U; index < loaders; ++index) {
            if (held[index] == 2U && !loading[index] && !defers(index, std::chrono::seconds{2})) {
                loading[index] = true;
                held[index] = 0U;
            }
        }
        max_loading = std::max(max_loading, static_cast<std::size_t>(std::ranges::count(loading, true)));
        for (std::size_t index = 0U; index < loaders; ++index) {
            if (loading[index]) {
                loading[index] = false;
                held[index] = version;
            }
        }
    }
    CHECK(max_loading == loaders / 2U);
    CHECK(std::ranges::count(held, version) == static_cast<std::ptrdiff_t>(loaders));

    held.assign(loaders, 2U);
    std::size_t deferred{};
    for (std::size_t index = 0U; index < loaders; ++index) {
        deferred += defers(index, std::chrono::seconds{2}) ? 1U : 0U;
        CHECK_FALSE(defers(index, std::chrono::seconds{6}));
    }
    CHECK(deferred == loaders / 2U);
    held[0] = 0U;
    CHECK_FALSE(defers(0U, std::chrono::seconds{2}));
}

// A runner that always reads slowly never got a version: its pieces were read again and again.
TEST_CASE("pieces that were read back too long ago are read again once, if that is expected to be faster") {
    constexpr auto outdated = max_verification_age + duration{1};
    constexpr auto fast = max_verification_age;
    CHECK(decide_load(max_verification_age, fast, 1U) == load_decision::order);
    CHECK(decide_load(outdated, fast, 1U) == load_decision::verify_again);
    CHECK(decide_load(outdated, fast, max_verifications) == load_decision::order);
    CHECK(decide_load(outdated, outdated, 1U) == load_decision::order);
}

TEST_CASE("the time of a round of read-backs follows from the time of a read and the reads at once") {
    CHECK(estimate_round_time(std::chrono::milliseconds{20}, 48U) == std::chrono::milliseconds{960});
    CHECK(estimate_round_time(std::chrono::milliseconds{100}, 48U) == std::chrono::milliseconds{960});
    CHECK(estimate_round_time(std::chrono::milliseconds{800}, 48U) == std::chrono::milliseconds{4'800});
}

TEST_CASE("as many pieces are read at once as a slow runner needs, and one if it is fast or not known") {
    constexpr std::size_t count = 48U;
    CHECK(concurrent_read_limit(duration::zero(), count) == 1U);
    CHECK(concurrent_read_limit(std::chrono::milliseconds{20}, count) == 1U);
    CHECK(concurrent_read_limit(std::chrono::milliseconds{25}, count) == 2U);
    CHECK(concurrent_read_limit(std::chrono::milliseconds{100}, count) == 5U);
    CHECK(concurrent_read_limit(std::chrono::seconds{2}, count) == max_concurrent_reads);
}

// The reads of a runner that reads one piece at a time queued behind each other until all had timed out, without end.
TEST_CASE("fewer pieces are read at once after a read that was not answered in time") {
    constexpr auto fast = max_growth_read_time;
    CHECK(adjust_read_limit(8U, false, fast) == 4U);
    CHECK(adjust_read_limit(1U, false, fast) == 1U);
    CHECK(adjust_read_limit(4U, true, fast) == 5U);
    CHECK(adjust_read_limit(4U, true, fast + duration{1}) == 4U);
    CHECK(adjust_read_limit(max_concurrent_reads, true, fast) == max_concurrent_reads);
}

} // namespace rhubarbwharf::loader
