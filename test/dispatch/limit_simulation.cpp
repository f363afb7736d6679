#include <algorithm>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/turns.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr duration tick = std::chrono::milliseconds{50};
constexpr duration run_time = std::chrono::seconds{120};
constexpr duration limit_window = std::chrono::seconds{4};
/*! @brief Time after a limit was named from which it counts. */
constexpr duration stable_window = std::chrono::seconds{3};
/*! @brief Longest time until a gateway knows what another one was told: two heartbeats. */
constexpr duration max_news_delay = std::chrono::milliseconds{600};
/*! @brief Longest time until a gateway knows that another one has come or gone. */
constexpr duration max_view_delay = std::chrono::milliseconds{1'800};
constexpr duration max_time_between_limits = std::chrono::seconds{16};

/*! @brief A gateway that uses every turn it has. */
struct gateway {
    std::string m_name{};
    bool m_alive{true};
    /*! @brief Limit that it knows, and the one that it will know. */
    double m_limit{};
    double m_next_limit{};
    time_point m_next_limit_at{};
    turn_share m_share{};
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
    limited_fleet(const std::size_t count, const unsigned seed) : m_random{seed}, m_gateways(count) {
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
        constexpr std::array limits{0.1, 0.3, 0.5, 1.0, 1.4, 2.0, 5.0, 12.0, 40.0};
        m_limit = limits[m_random() % limits.size()];
        m_changed = m_now;
        m_next_change = m_now + stable_window + limit_window + draw(max_time_between_limits);
        m_arrivals.clear();
        for (auto& each : m_gateways) {
            each.m_next_limit = m_limit;
            each.m_next_limit_at = m_now + draw(max_news_delay);
        }
    }

    auto step(gateway& each) -> void {
        if (!each.m_alive) {
            return;
        }
        if (m_now >= each.m_next_limit_at) {
            each.m_limit = each.m_next_limit;
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
        set_rate(each.m_share, divide_limit(each.m_view, each.m_name, {"server", each.m_limit, {}}), m_now);
        while (has_turn(each.m_share, m_now)) {
            take_turn(each.m_share, m_now);
            m_arrivals.push_back(m_now);
            m_sent += m_now - m_changed > stable_window ? 1.0 : 0.0;
        }
    }

    auto judge() -> void {
        if (m_now - m_changed <= stable_window) {
            m_arrivals.clear();
            return;
        }
        m_taken += m_limit * std::chrono::duration<double>{tick}.count();
        while (!m_arrivals.empty() && m_now - m_arrivals.front() > limit_window) {
            m_arrivals.pop_front();
        }
        const auto allowed = 1.5 * m_limit * std::chrono::duration<double>{limit_window}.count() + 5.0;
        m_outcome.m_worst = std::max(m_outcome.m_worst, static_cast<double>(m_arrivals.size()) / allowed);
    }

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

} // namespace

// Load pattern: every gateway has more requests for the server than its share, and uses each turn at once.
TEST_CASE("a limited server gets what it has named and no more, while limits change and gateways come and go") {
    for (const auto count : {9U, 44U, 98U}) {
        double worst{};
        double used{};
        constexpr auto seeds = 20U;
        for (auto seed = 1U; seed <= seeds; ++seed) {
            const auto outcome = limited_fleet{count, seed}.run();
            worst = std::max(worst, outcome.m_worst);
            used += outcome.m_used / seeds;
        }
        MESSAGE(count, " gateways: at most ", worst, " of what is allowed, ", used, " of the limits used");
        CHECK(worst <= 1.0);
        CHECK(used >= 0.5);
    }
}

} // namespace rhubarbwharf::dispatch
