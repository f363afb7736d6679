#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <utility>

#include <doctest/doctest.h>

#include <rhubarbwharf/routing/prompt_parts.hpp>

namespace rhubarbwharf::routing {

namespace {

constexpr time_point start{std::chrono::hours{1}};
constexpr duration ms = std::chrono::milliseconds{1};
constexpr part_id common_part{1U};
constexpr std::uint64_t first_guilty_part = 100U;
constexpr std::uint64_t first_subject = 1'000U;

struct options {
    std::size_t m_gateways{9};
    std::size_t m_servers{24};
    double m_sound_per_s{200.0};
    double m_guilty_per_s{7.0};
    std::uint64_t m_guilty_parts{1};
    /*! @brief Parts that sound requests share in small groups, each used seldom. */
    std::uint64_t m_subjects{300};
    duration m_length{std::chrono::seconds{60}};
    /*! @brief Servers killed a second, whatever they run. */
    double m_kills_per_s{};
};

struct outcome {
    unsigned m_crashes{};
    unsigned m_late_guilty_arrivals{};
    unsigned m_sound{};
    unsigned m_sound_refused{};
    /*! @brief Sound parts that any gateway has held back. */
    unsigned m_false_holds{};
    bool m_all_held{false};
};

struct request {
    std::size_t m_gateway{};
    std::vector<part_id> m_parts{};
    bool m_guilty{false};
    bool m_begun{false};
    bool m_trial{false};
    bool m_repeated{false};
};

/*! @brief Gateways and servers with the decisions of `prompt_parts`; messages between gateways take 2 to 10 ms. */
class simulation {
public:
    simulation(const options& given, const std::uint64_t seed)
        : m_options{given}, m_random{seed}, m_tables(given.m_gateways), m_requests(given.m_servers),
          m_up(given.m_servers, true), m_incarnations(given.m_servers) {
        for (std::size_t index = 0U; index < given.m_servers; ++index) {
            m_incarnations[index] = ++m_last_incarnation;
        }
    }

    [[nodiscard]] auto run() -> outcome {
        every(m_options.m_sound_per_s, [this] { arrive(false); });
        every(m_options.m_guilty_per_s, [this] { arrive(true); });
        every(m_options.m_kills_per_s, [this] { end_server(m_random() % m_options.m_servers); });
        while (!m_events.empty() && m_events.top().m_at < start + m_options.m_length) {
            m_now = m_events.top().m_at;
            const auto task = m_events.top().m_task;
            m_events.pop();
            task();
        }
        m_outcome.m_all_held = std::ranges::all_of(
            m_tables, [this](const auto& table) { return table.m_held.size() >= m_options.m_guilty_parts; });
        return m_outcome;
    }

private:
    struct event {
        time_point m_at{};
        std::uint64_t m_number{};
        std::function<void()> m_task{};

        [[nodiscard]] auto operator<(const event& other) const noexcept -> bool {
            return m_at != other.m_at ? m_at > other.m_at : m_number > other.m_number;
        }
    };

    using request_ptr = std::shared_ptr<request>;

    auto after(const duration delay, std::function<void()> task) -> void {
        m_events.push({m_now + delay, ++m_last_event, std::move(task)});
    }

    auto every(const double per_s, const std::function<void()>& task) -> void {
        if (per_s <= 0.0) {
            return;
        }
        std::exponential_distribution<double> gap{per_s};
        after(duration{static_cast<duration::rep>(gap(m_random) * 1e6) + 1}, [this, per_s, task] {
            task();
            every(per_s, task);
        });
    }

    [[nodiscard]] auto between(const duration low, const duration high) -> duration {
        return low +
               duration{static_cast<duration::rep>(m_random() % static_cast<std::uint64_t>((high - low).count()))};
    }

    auto broadcast(const std::size_t from, const std::function<void(part_table&)>& news) -> void {
        for (std::size_t index = 0U; index < m_tables.size(); ++index) {
            if (index != from) {
                after(between(2 * ms, 10 * ms), [this, index, news] { news(m_tables[index]); });
            }
        }
    }

    auto arrive(const bool guilty) -> void {
        auto item = std::make_shared<request>();
        item->m_gateway = m_random() % m_options.m_gateways;
        item->m_guilty = guilty;
        const auto own = guilty ? first_guilty_part + m_random() % m_options.m_guilty_parts
                                : first_subject + m_random() % m_options.m_subjects;
        item->m_parts = {common_part, part_id{own}};
        m_outcome.m_sound += guilty ? 0U : 1U;
        send(item);
    }

    auto send(const request_ptr& item) -> void {
        auto& table = m_tables[item->m_gateway];
        const auto admission = admit(table, item->m_parts, m_now);
        const auto server = pick_server();
        if (admission.m_decision == part_decision::refuse || server == m_options.m_servers) {
            m_outcome.m_sound_refused += item->m_guilty ? 0U : 1U;
            return;
        }
        item->m_trial = admission.m_decision == part_decision::trial;
        if (item->m_trial) {
            const auto parts = admission.m_parts;
            begin_trial(table, parts, m_now);
            broadcast(item->m_gateway, [this, parts](part_table& other) { begin_trial(other, parts, m_now); });
        }
        if (item->m_guilty && m_fifth_crash != time_point{} && m_now > m_fifth_crash + std::chrono::seconds{3}) {
            ++m_outcome.m_late_guilty_arrivals;
        }
        item->m_begun = false;
        m_requests[server].push_back(item);
        after(between(100 * ms, 500 * ms), [this, item, server, incarnation = m_incarnations[server]] {
            if (m_incarnations[server] == incarnation && m_up[server]) {
                begin(item, server);
            }
        });
    }

    [[nodiscard]] auto pick_server() -> std::size_t {
        std::vector<std::size_t> up{};
        for (std::size_t index = 0U; index < m_up.size(); ++index) {
            if (m_up[index]) {
                up.push_back(index);
            }
        }
        return up.empty() ? m_options.m_servers : up[m_random() % up.size()];
    }

    auto begin(const request_ptr& item, const std::size_t server) -> void {
        if (item->m_guilty) {
            end_server(server);
            return;
        }
        item->m_begun = true;
        auto& table = m_tables[item->m_gateway];
        const auto cleared = add_served(table, item->m_parts, m_now);
        if (!cleared.empty() || item->m_trial) {
            broadcast(item->m_gateway,
                      [this, parts = item->m_parts](part_table& other) { add_served(other, parts, m_now); });
        }
        after(std::chrono::seconds{1}, [this, item, server] { std::erase(m_requests[server], item); });
    }

    auto end_server(const std::size_t server) -> void {
        if (!m_up[server]) {
            return;
        }
        m_up[server] = false;
        ++m_outcome.m_crashes;
        m_fifth_crash = m_outcome.m_crashes == 5U ? m_now : m_fifth_crash;
        const auto lost = std::exchange(m_requests[server], {});
        std::map<std::size_t, std::vector<part_id>> parts{};
        for (const auto& item : lost) {
            if (!item->m_begun) {
                auto& own = parts[item->m_gateway];
                own.insert(own.end(), item->m_parts.begin(), item->m_parts.end());
            }
        }
        const incarnation_id incarnation{m_incarnations[server]};
        for (const auto& [gateway, list] : parts) {
            const auto added = add_crash(m_tables[gateway], incarnation, list, m_now);
            broadcast(gateway,
                      [this, incarnation, added](part_table& other) { add_crash(other, incarnation, added, m_now); });
        }
        for (const auto& item : lost) {
            if (item->m_trial && !item->m_begun) {
                record_hold(*item, incarnation);
            }
        }
        for (const auto& item : lost) {
            if (!std::exchange(item->m_repeated, true)) {
                send(item);
            }
        }
        after(between(1'200 * ms, 4'000 * ms), [this, server] {
            m_up[server] = true;
            m_incarnations[server] = ++m_last_incarnation;
        });
    }

    auto record_hold(const request& item, const incarnation_id incarnation) -> void {
        auto& table = m_tables[item.m_gateway];
        std::vector<part_id> suspects{};
        std::ranges::copy_if(item.m_parts, std::back_inserter(suspects),
                             [&](const part_id part) { return count_crashes(table, part) >= suspect_crashes; });
        if (suspects.empty()) {
            return;
        }
        const auto held = hold(table, suspects, incarnation, m_now);
        m_outcome.m_false_holds +=
            std::ranges::any_of(held.m_parts,
                                [](const part_id part) { return part == common_part || part.value() >= first_subject; })
                ? 1U
                : 0U;
        broadcast(item.m_gateway, [held](part_table& other) { merge_hold(other, held); });
    }

    options m_options{};
    std::mt19937_64 m_random;
    std::vector<part_table> m_tables{};
    std::vector<std::vector<request_ptr>> m_requests{};
    std::vector<bool> m_up{};
    std::vector<std::uint64_t> m_incarnations{};
    std::uint64_t m_last_incarnation{};
    std::priority_queue<event> m_events{};
    std::uint64_t m_last_event{};
    time_point m_now{start};
    time_point m_fifth_crash{};
    outcome m_outcome{};
};

constexpr unsigned max_late_arrivals = 3U;

struct totals {
    unsigned m_max_crashes{};
    unsigned m_max_late{};
    unsigned m_false_holds{};
    double m_max_refused_share{};
    unsigned m_runs_without_verdict{};
};

[[nodiscard]] auto run_seeds(const options& given, const std::uint64_t seeds) -> totals {
    totals out{};
    for (std::uint64_t seed = 1U; seed <= seeds; ++seed) {
        const auto result = simulation{given, seed}.run();
        out.m_max_crashes = std::max(out.m_max_crashes, result.m_crashes);
        out.m_max_late = std::max(out.m_max_late, result.m_late_guilty_arrivals);
        out.m_false_holds += result.m_false_holds;
        out.m_max_refused_share =
            std::max(out.m_max_refused_share, static_cast<double>(result.m_sound_refused) / result.m_sound);
        out.m_runs_without_verdict += result.m_all_held ? 0U : 1U;
    }
    MESSAGE("crashes at most " << out.m_max_crashes << ", late arrivals at most " << out.m_max_late
                               << ", false verdicts " << out.m_false_holds << " in " << seeds
                               << " runs, share of sound requests refused at most " << out.m_max_refused_share);
    return out;
}

} // namespace

TEST_CASE("nine gateways hold a guilty part back after a few crashes, and sound requests run on") {
    const auto result = run_seeds({}, 20U);
    CHECK(result.m_max_late <= max_late_arrivals);
    CHECK(result.m_runs_without_verdict == 0U);
    CHECK(result.m_max_refused_share < 0.5);
}

TEST_CASE("two guilty parts at the same time are held back by nine gateways") {
    options given{};
    given.m_guilty_parts = 2U;
    const auto result = run_seeds(given, 20U);
    CHECK(result.m_max_late <= 2U * max_late_arrivals);
    CHECK(result.m_runs_without_verdict == 0U);
    CHECK(result.m_max_refused_share < 0.5);
}

TEST_CASE("a rare guilty part is held back as well") {
    options given{};
    given.m_guilty_per_s = 0.2;
    given.m_length = std::chrono::minutes{5};
    const auto result = run_seeds(given, 10U);
    CHECK(result.m_max_late <= max_late_arrivals);
    CHECK(result.m_max_refused_share < 0.5);
}

TEST_CASE("servers that are killed at random hold no sound part back for long") {
    options given{};
    given.m_guilty_per_s = 0.0;
    given.m_guilty_parts = 0U;
    given.m_kills_per_s = 5.0;
    const auto result = run_seeds(given, 20U);
    CHECK(result.m_max_refused_share < 0.05);
}

TEST_CASE("370 gateways before 2,500 servers hold a guilty part back") {
    options given{};
    given.m_gateways = 370U;
    given.m_servers = 2'500U;
    given.m_sound_per_s = 1'300.0;
    given.m_guilty_per_s = 20.0;
    given.m_length = std::chrono::seconds{20};
    const auto result = run_seeds(given, 2U);
    CHECK(result.m_max_late <= max_late_arrivals);
    CHECK(result.m_runs_without_verdict == 0U);
    CHECK(result.m_max_refused_share < 0.5);
}

} // namespace rhubarbwharf::routing
