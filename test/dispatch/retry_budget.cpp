#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <rhubarbwharf/dispatch/retry_budget.hpp>

namespace rhubarbwharf::dispatch {

namespace {

const time_point start = time_point{} + std::chrono::hours{1};
constexpr duration step = std::chrono::milliseconds{20};

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

} // namespace rhubarbwharf::dispatch
