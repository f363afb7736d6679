#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <algorithm>
#include <vector>

#include <rhubarbwharf/dispatch/retry_budget.hpp>

namespace rhubarbwharf::dispatch {

namespace {

const time_point start = time_point{} + std::chrono::hours{1};
constexpr duration step = std::chrono::milliseconds{20};
constexpr duration second = std::chrono::seconds{1};

[[nodiscard]] auto most_in_window(const std::vector<time_point>& times, const duration window) -> std::size_t {
    std::size_t out{};
    for (auto last = times.begin(); last != times.end(); ++last) {
        const auto first = std::lower_bound(times.begin(), last, *last - window);
        out = std::max(out, static_cast<std::size_t>(last - first) + 1U);
    }
    return out;
}

} // namespace

TEST_CASE("retries that wait for a place before they are sent stay within the budget of the window they are sent in") {
    constexpr duration wait = std::chrono::seconds{4};
    service_retry_budget budget{};
    budget.m_extra_retries = 20.0;
    std::vector<time_point> waiting{};
    std::vector<time_point> sent{};
    const auto full_until = start + budget.m_window;
    for (auto now = start; now < start + 3 * budget.m_window; now += step) {
        if (try_grant_retry(budget, now)) {
            waiting.push_back(now < full_until ? now + wait : now);
        }
        std::erase_if(waiting, [&](const time_point at) {
            if (at > now) {
                return false;
            }
            record_retry(budget, true, now);
            sent.push_back(now);
            return true;
        });
    }
    CHECK_FALSE(sent.empty());
    CHECK(static_cast<double>(most_in_window(sent, budget.m_window)) <= budget.m_extra_retries);
}

TEST_CASE("a grant that is not used, or whose request reached no server, does not count") {
    service_retry_budget budget{};
    budget.m_extra_retries = 2.0;
    REQUIRE(try_grant_retry(budget, start));
    CHECK_FALSE(try_grant_retry(budget, start));
    withdraw_grant(budget);
    REQUIRE(try_grant_retry(budget, start));
    record_retry(budget, true, start + step);
    CHECK_FALSE(try_grant_retry(budget, start + step));
    CHECK(restore_grant(budget, start + step));
    CHECK_FALSE(restore_grant(budget, start + step));
    CHECK(budget.m_granted == 1U);
    withdraw_grant(budget);
    CHECK(try_grant_retry(budget, start + 2 * step));
}

TEST_CASE("a retry that is sent without a grant counts") {
    service_retry_budget budget{};
    budget.m_extra_retries = 2.0;
    record_retry(budget, false, start);
    CHECK(budget.m_granted == 0U);
    CHECK_FALSE(try_grant_retry(budget, start + budget.m_window));
    CHECK(try_grant_retry(budget, start + budget.m_window + max_arrival_delay + step));
}

TEST_CASE("a gateway that has just started spends none of the slack until a peer has told what its predecessor spent") {
    constexpr duration window = std::chrono::seconds{10};
    budget_claim claim{};
    claim.m_slack = 80.0;
    claim.m_gateways = 8U;
    claim.m_max_store_silence = std::chrono::seconds{20};
    CHECK(part_of_budget(claim, window) == budget_part{1.0 - usable_budget_fraction, 0.0});
    claim.m_knows_predecessor = true;
    CHECK(part_of_budget(claim, window) == budget_part{usable_budget_fraction, 10.0});
    claim.m_knows_predecessor = false;
    claim.m_age = window + max_arrival_delay;
    CHECK(part_of_budget(claim, window) == budget_part{usable_budget_fraction, 10.0});
    claim.m_store_silence = std::chrono::seconds{21};
    CHECK(part_of_budget(claim, window) == budget_part{usable_budget_fraction, 0.0});
}

TEST_CASE("gateways that are no longer listed keep their part of the slack until what they spent has left the window") {
    constexpr duration window = std::chrono::seconds{10};
    gateway_peak peak{};
    CHECK(note_gateways(peak, 8U, window, start) == 8U);
    CHECK(note_gateways(peak, 5U, window, start + window) == 8U);
    CHECK(note_gateways(peak, 6U, window, start + window + max_arrival_delay + step) == 6U);
    CHECK(note_gateways(peak, 9U, window, start + window + second) == 9U);
}

TEST_CASE("a successor that does not know what its predecessor spent does not make its peers forget it") {
    constexpr duration lifetime = std::chrono::seconds{10};
    told_retries known{};
    merge_told(known, {1U, 8U, start}, lifetime);
    merge_told(known, {1U, 7U, start + second}, lifetime);
    CHECK(known.m_count == 7U);
    merge_told(known, {2U, 1U, start + 2 * second}, lifetime);
    CHECK(known.m_count == 7U);
    CHECK(known.m_told_at == start + second);
    merge_told(known, {2U, 9U, start + 3 * second}, lifetime);
    CHECK(known.m_count == 9U);
    merge_told(known, {3U, 2U, start + 3 * second + lifetime}, lifetime);
    CHECK(known.m_count == 2U);
}

namespace {

/*! @brief One gateway of a fleet in which every request is to be sent again as soon as the budget allows it. */
struct busy_gateway {
    service_retry_budget m_budget{};
    time_point m_started{start - std::chrono::minutes{1}};
    bool m_knows_predecessor{false};
    std::size_t m_waiting{};
    std::uint64_t m_incarnation{};
    /*! @brief What its peers know that it and its predecessors have spent. */
    told_retries m_told{};
};

/*! @brief Fleet with random kills. */
struct busy_fleet {
    static constexpr std::size_t gateway_count = 8U;
    static constexpr double slack = 104.0;
    static constexpr duration window = std::chrono::seconds{10};
    static constexpr duration lifetime = window + max_arrival_delay;

    std::vector<busy_gateway> m_gateways{gateway_count};
    std::vector<time_point> m_requests{};
    std::vector<time_point> m_repeats{};

    auto kill(const std::size_t index, const time_point now) -> void {
        auto& former = m_gateways[index];
        busy_gateway successor{};
        successor.m_started = now;
        successor.m_incarnation = former.m_incarnation + 1U;
        successor.m_told = former.m_told;
        const auto has_informed_peer = std::ranges::any_of(
            m_gateways, [&](const busy_gateway& each) { return &each != &former && now - each.m_started >= lifetime; });
        if (has_informed_peer) {
            inherit_retries(successor.m_budget, former.m_told.m_count, former.m_told.m_told_at + lifetime);
            successor.m_knows_predecessor = true;
        }
        former = successor;
    }

    /*! @brief Lets a gateway take a request or not, and send again what the budget allows. */
    auto run(busy_gateway& self, const bool takes_request, const time_point now) -> void {
        budget_claim claim{};
        claim.m_slack = slack;
        claim.m_gateways = gateway_count;
        claim.m_age = now - self.m_started;
        claim.m_knows_predecessor = self.m_knows_predecessor;
        claim.m_max_store_silence = std::chrono::seconds{20};
        const auto part = part_of_budget(claim, window);
        self.m_budget.m_usable_fraction = part.m_usable_fraction;
        self.m_budget.m_extra_retries = part.m_extra_retries;
        if (takes_request) {
            record_request(self.m_budget, now);
            m_requests.push_back(now);
            self.m_waiting += 2U;
        }
        for (; self.m_waiting > 0U && try_grant_retry(self.m_budget, now); --self.m_waiting) {
            merge_told(self.m_told, {self.m_incarnation, count_retries(self.m_budget, now), now}, lifetime);
            record_retry(self.m_budget, true, now);
            m_repeats.push_back(now);
        }
    }

    /*! @brief Returns what a service may get in the window that ends at a time. */
    [[nodiscard]] auto allowed_at(const time_point until) const -> double {
        const auto count = [&](const time_point end) {
            return std::ranges::upper_bound(m_requests, end) - std::ranges::lower_bound(m_requests, end - window);
        };
        const auto requests = std::max({count(until), count(until - window / 2), count(until - window)});
        return 0.2 * static_cast<double>(requests) + slack;
    }
};

} // namespace

TEST_CASE("gateways that are killed at random spend no more than the budget together") {
    CHECK(rc::check([] {
        busy_fleet fleet{};
        const auto kills_all = *rc::gen::arbitrary<bool>();
        const auto kill_every = *rc::gen::inRange(10, 400);
        const auto request_every = *rc::gen::inRange(1, 40);
        for (auto [now, tick] = std::pair{start, 1}; tick < 2'000; now += step, ++tick) {
            if (tick > 600 && tick % kill_every == 0) {
                const auto victim = static_cast<std::size_t>(tick / kill_every);
                for (std::size_t index = 0U; index < busy_fleet::gateway_count; ++index) {
                    if (kills_all || index == victim % busy_fleet::gateway_count) {
                        fleet.kill(index, now);
                    }
                }
            }
            for (auto& each : fleet.m_gateways) {
                fleet.run(each, tick % request_every == 0, now);
            }
        }
        for (const auto until : fleet.m_repeats) {
            const auto first = std::ranges::lower_bound(fleet.m_repeats, until - busy_fleet::window);
            const auto last = std::ranges::upper_bound(fleet.m_repeats, until);
            RC_ASSERT(static_cast<double>(last - first) <= fleet.allowed_at(until));
        }
    }));
}

} // namespace rhubarbwharf::dispatch
