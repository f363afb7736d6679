#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/turns.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr duration tick = std::chrono::milliseconds{50};
constexpr duration run_time = std::chrono::seconds{120};
/*! @brief Time after a limit was named from which it counts. */
constexpr duration stable_window = std::chrono::seconds{3};
/*! @brief Longest time until a gateway knows what another one was told: two heartbeats. */
constexpr duration max_news_delay = std::chrono::milliseconds{600};
/*! @brief Longest time until a gateway knows that another one has come or gone. */
constexpr duration max_view_delay = std::chrono::milliseconds{1'800};
constexpr duration max_time_between_limits = std::chrono::seconds{16};

/*! @brief What a server gets at most, and how many turns are saved for it. */
struct rate_rule {
    duration m_window{};
    /*! @brief Time from which it counts that a rate holds. */
    duration m_notice{};
    std::vector<double> m_rates{};
    double (*m_allowed)(double){};
    double (*m_saved_turns)(double){};
    /*! @brief Whether nobody has used the server before its rate holds, so that each share begins with a turn. */
    bool m_begins_unused{false};
};

[[nodiscard]] auto named_limits() -> rate_rule {
    return {std::chrono::seconds{4},
            stable_window,
            {0.1, 0.3, 0.5, 1.0, 1.4, 2.0, 5.0, 12.0, 40.0},
            [](const double per_s) { return 1.5 * 4.0 * per_s + 5.0; },
            saved_turns_of_limit};
}

[[nodiscard]] auto tolerated_by_cold(const double per_s) -> double {
    return 1.5 * per_s + 5.0;
}

[[nodiscard]] auto cold_servers() -> rate_rule {
    return {std::chrono::seconds{1},
            duration::zero(),
            {2.0, 8.0, 26.0, 60.0},
            tolerated_by_cold,
            [](const double per_s) { return saved_turns_of_cold_server(per_s, tolerated_by_cold(per_s)); },
            true};
}

/*! @brief A gateway that uses every turn it has. */
struct gateway {
    std::string m_name{};
    bool m_alive{true};
    /*! @brief Limit that it knows, and the one that it will know. */
    double m_limit{};
    double m_next_limit{};
    time_point m_next_limit_at{};
    turn_share m_share{};
    bool m_grants_turn{false};
    /*! @brief Which gateways it takes for alive, and from when on it takes the others' real state. */
    std::vector<std::string_view> m_view{};
    time_point m_view_until{};
};

struct limit_outcome {
    /*! @brief Largest count in a window, divided by what is allowed. */
    double m_worst{};
    /*! @brief Requests sent, divided by what the limits would take. */
    double m_used{};
};

/*! @brief Gateways before one server whose limit changes, while gateways end, come back and learn of it at different
 * times. */
class limited_fleet {
public:
    limited_fleet(rate_rule rule, const std::size_t count, const unsigned seed)
        : m_rule{std::move(rule)}, m_random{seed}, m_gateways(count) {
        for (std::size_t index = 0U; index < count; ++index) {
            m_gateways[index].m_name = "gateway-" + std::to_string(index);
        }
        change_limit();
    }

    [[nodiscard]] auto run() -> limit_outcome {
        for (const auto end = m_now + run_time; m_now < end; m_now += tick) {
            if (m_now >= m_next_change) {
                change_limit();
            }
            if (m_random() % 60U == 0U) {
                auto& changed = m_gateways[m_random() % m_gateways.size()];
                changed.m_alive = !changed.m_alive;
                changed.m_share = {0.0, 0.0, m_now};
            }
            for (auto& each : m_gateways) {
                step(each);
            }
            judge();
        }
        m_outcome.m_used = m_sent / m_taken;
        return m_outcome;
    }

private:
    [[nodiscard]] auto draw(const duration most) -> duration {
        return duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>(most.count()))};
    }

    auto change_limit() -> void {
        m_limit = m_rule.m_rates[m_random() % m_rule.m_rates.size()];
        m_changed = m_now;
        m_next_change = m_now + m_rule.m_notice + m_rule.m_window + draw(max_time_between_limits);
        m_arrivals.clear();
        for (auto& each : m_gateways) {
            each.m_next_limit = m_limit;
            each.m_next_limit_at = m_now + draw(max_news_delay);
            if (m_rule.m_begins_unused) {
                // The former server is gone, and this one is not used before it is known.
                each.m_limit = 0.0;
                each.m_share = {0.0, 0.0, m_now};
            }
        }
    }

    auto step(gateway& each) -> void {
        if (!each.m_alive) {
            return;
        }
        if (m_now >= each.m_next_limit_at) {
            const auto begins = m_rule.m_begins_unused && each.m_limit != each.m_next_limit;
            each.m_limit = each.m_next_limit;
            each.m_grants_turn = each.m_grants_turn || begins;
        }
        if (m_now >= each.m_view_until) {
            each.m_view.clear();
            for (const auto& other : m_gateways) {
                if (other.m_alive) {
                    each.m_view.push_back(other.m_name);
                }
            }
            each.m_view_until = m_now + draw(max_view_delay);
        }
        if (each.m_limit <= 0.0) {
            return;
        }
        const named_limit limit{"server", each.m_limit, {}, m_rule.m_saved_turns(each.m_limit)};
        set_rate(each.m_share, divide_limit(each.m_view, each.m_name, limit), m_now);
        if (std::exchange(each.m_grants_turn, false)) {
            grant_first_turn(each.m_share);
        }
        while (has_turn(each.m_share, m_now)) {
            take_turn(each.m_share, m_now);
            m_arrivals.push_back(m_now);
            m_sent += m_now - m_changed > m_rule.m_notice ? 1.0 : 0.0;
        }
    }

    auto judge() -> void {
        if (m_now - m_changed <= m_rule.m_notice && m_rule.m_notice > duration::zero()) {
            m_arrivals.clear();
            return;
        }
        m_taken += m_limit * std::chrono::duration<double>{tick}.count();
        while (!m_arrivals.empty() && m_now - m_arrivals.front() > m_rule.m_window) {
            m_arrivals.pop_front();
        }
        const auto used = static_cast<double>(m_arrivals.size()) / m_rule.m_allowed(m_limit);
        m_outcome.m_worst = std::max(m_outcome.m_worst, used);
    }

    rate_rule m_rule{};
    std::mt19937 m_random;
    std::vector<gateway> m_gateways{};
    time_point m_now{std::chrono::hours{1}};
    double m_limit{};
    time_point m_changed{};
    time_point m_next_change{};
    std::deque<time_point> m_arrivals{};
    double m_sent{};
    double m_taken{};
    limit_outcome m_outcome{};
};

auto check_rule(const rate_rule& rule, const std::vector<unsigned>& counts) -> void {
    for (const auto count : counts) {
        double worst{};
        double used{};
        constexpr auto seeds = 20U;
        for (auto seed = 1U; seed <= seeds; ++seed) {
            const auto outcome = limited_fleet{rule, count, seed}.run();
            worst = std::max(worst, outcome.m_worst);
            used += outcome.m_used / seeds;
        }
        MESSAGE(count, " gateways: at most ", worst, " of what is allowed, ", used, " of the rates used");
        CHECK(worst <= 1.0);
        CHECK(used >= 0.5);
    }
}

} // namespace

// Load pattern: every gateway has more requests for the server than its share, and uses each turn at once.
TEST_CASE("a limited server gets what it has named and no more, while limits change and gateways come and go") {
    check_rule(named_limits(), {9U, 44U, 98U});
}

// Load pattern: the servers of a data centre turn cold at once, while every gateway has more requests than its share.
TEST_CASE("a cold server gets what it bears in each second, and most of its rate is used") {
    check_rule(cold_servers(), {9U, 46U, 98U});
}

} // namespace rhubarbwharf::dispatch
