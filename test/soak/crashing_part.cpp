#include <csignal>

#include <algorithm>
#include <map>
#include <random>
#include <set>

#include <doctest/doctest.h>

#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

namespace {

using standin_site::prompt_event;

constexpr std::size_t gateways = 2U;
constexpr standin_site::site_options crashing_site{.m_runner_count = 8U, .m_split_output = true};
constexpr duration tick = std::chrono::milliseconds{25};
/*! @brief Crashes of one part by which every gateway is to know it. */
constexpr std::size_t crashes_to_learn = 5U;
/*! @brief Time after the last of these crashes from which few requests with the part may reach runners. */
constexpr duration arrivals_notice = std::chrono::seconds{3};
/*! @brief Requests with the part that may reach runners after that. */
constexpr std::size_t allowed_arrivals = 3U;
/*! @brief Time after the last of these crashes from which sound requests are to be served. */
constexpr duration service_notice = std::chrono::seconds{6};
constexpr duration quiet_time = std::chrono::seconds{4};
constexpr duration measured_time = std::chrono::seconds{4};
constexpr duration longest_trouble = std::chrono::seconds{25};

/*! @brief Requests that share a caller and parts, sent in turn with the other kinds. */
struct request_kind {
    std::string m_key{};
    std::vector<std::string> m_parts{};
    bool m_is_poisonous{false};
};

struct sent_request {
    time_point m_at{};
    std::size_t m_kind{};
    std::string m_attempt{};
};

const std::vector<std::string> shared_prompt{"aa01", "bb02"};

/*! @brief Returns sound requests with the same key and parts, the same key, the same first part, and neither. */
[[nodiscard]] auto sound_kinds() -> std::vector<request_kind> {
    return {{"a", shared_prompt}, {"a", {"aa11", "bb12"}}, {"b", {"aa01", "bb22"}}, {"c", {"aa31", "bb32"}}};
}

/*! @brief Requests of several kinds to all gateways, beside crashes of the runners. */
class trouble {
public:
    explicit trouble(std::vector<request_kind> kinds) : m_fixture{gateways, crashing_site}, m_kinds{std::move(kinds)} {
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            REQUIRE(process::wait_until([&] {
                return m_fixture.start_prompt("a0-" + std::to_string(++m_count), "a", shared_prompt, gateway)
                           .get()
                           .m_response.m_status == 200U;
            }));
        }
        m_fixture.m_site.run_in_loop([](standin_site::site& site) {
            for (std::size_t index = 0U; index < crashing_site.m_runner_count; ++index) {
                site.servers()[index]->set_faults(
                    {.m_pause_event = index % 2U == 0U ? 1U : 6U, .m_pause = std::chrono::milliseconds{150}});
            }
        });
    }

    /*! @brief Sends requests until a condition holds; the poisonous ones at 10 a second, the others at 30. */
    auto send_until(const bool with_poison, const std::function<bool()>& condition) -> void {
        for (auto next = steady_now(); !condition(); next += tick) {
            std::this_thread::sleep_for(next - steady_now());
            const auto sends_poison = m_tick_count++ % 4U == 0U;
            if (!sends_poison || with_poison) {
                send(sends_poison);
            }
        }
    }

    auto send_for(const bool with_poison, const duration length) -> void {
        const auto end = steady_now() + length;
        send_until(with_poison, [end] { return steady_now() >= end; });
    }

    auto set_crash_parts(const std::set<std::string>& parts) -> void {
        m_fixture.m_site.run_in_loop(
            [&](standin_site::site& site) { site.observations().m_crash_faults.m_crash_parts = parts; });
    }

    [[nodiscard]] auto observe() -> standin_site::crash_observations {
        standin_site::crash_observations out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site& site) {
            out = site.observations().m_prompts;
            CHECK(site.observations().m_violations.m_lines == std::vector<std::string>{});
        });
        return out;
    }

    /*! @brief Returns when a part crashed a server for the fifth time, or last if it did so less often. */
    [[nodiscard]] auto learned_at(const std::string& part) -> time_point {
        time_point out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site& site) {
            std::size_t count{};
            for (const auto& each : site.observations().m_prompts.m_crashes) {
                if (each.m_part == part && count++ < crashes_to_learn) {
                    out = each.m_at;
                }
            }
        });
        return out;
    }

    /*! @brief Lets requests with the parts crash runners until the service after the crashes is measured. */
    auto run_trouble(const std::set<std::string>& parts) -> void {
        send_for(false, quiet_time);
        set_crash_parts(parts);
        m_trouble_began_at = steady_now();
        send_until(true, [&] {
            auto measured_from = m_trouble_began_at;
            for (const auto& part : parts) {
                measured_from = std::max(measured_from, learned_at(part) + service_notice);
            }
            return steady_now() > std::min(measured_from + measured_time, m_trouble_began_at + longest_trouble);
        });
    }

    /*! @brief Checks the requests with a part that reached runners after it had to be known. */
    auto check_arrivals(const std::string& part) -> void {
        const auto observed = observe();
        const auto bound = learned_at(part) + arrivals_notice;
        const auto crashes = std::ranges::count(observed.m_crashes, part, &standin_site::crash::m_part);
        const auto late = std::ranges::count_if(observed.m_arrivals, [&](const prompt_event& each) {
            return each.m_at > bound && std::ranges::find(each.m_parts, part) != each.m_parts.end();
        });
        const auto checked = static_cast<std::size_t>(crashes) >= crashes_to_learn ? late : 0;
        CAPTURE(part);
        CAPTURE(crashes);
        CHECK(crashes > 0);
        CHECK(checked <= static_cast<std::ptrdiff_t>(allowed_arrivals));
    }

    /*! @brief Checks that a kind of request begins at least half as often after a time as before the trouble. */
    auto check_service(const std::size_t kind, const time_point since) -> void {
        const auto before = begun_share(kind, {}, m_trouble_began_at);
        const auto after = begun_share(kind, since, time_point::max());
        CAPTURE(kind);
        CAPTURE(before);
        CHECK(before > 0.0);
        CHECK(after >= before / 2.0);
    }

    /*! @brief Checks all sound kinds of request from 6 s after the crash by which a part had to be known. */
    auto check_sound_service(const std::string& part) -> void {
        const auto since = learned_at(part) + service_notice;
        for (std::size_t kind = 0U; kind < m_kinds.size(); ++kind) {
            if (!m_kinds[kind].m_is_poisonous) {
                check_service(kind, since);
            }
        }
    }

    site_fixture m_fixture;
    time_point m_trouble_began_at{};

private:
    auto send(const bool poisonous) -> void {
        auto& turn = m_turns[poisonous];
        do {
            turn = (turn + 1U) % m_kinds.size();
        } while (m_kinds[turn].m_is_poisonous != poisonous);
        const auto& kind = m_kinds[turn];
        const sent_request sent{steady_now(), turn, kind.m_key + "-" + std::to_string(++m_count)};
        m_sent.push_back(sent);
        m_running.push_back(
            m_fixture.start_prompt(sent.m_attempt, kind.m_key, kind.m_parts, (m_sent.size() / 2U) % gateways));
    }

    [[nodiscard]] auto begun_share(const std::size_t kind, const time_point from, const time_point to) -> double {
        for (auto& each : m_running) {
            each.wait();
        }
        std::set<std::string> begun{};
        for (const auto& each : observe().m_begins) {
            begun.insert(each.m_attempt);
        }
        std::size_t sent_count{};
        std::size_t begun_count{};
        for (const auto& each : m_sent) {
            if (each.m_kind == kind && each.m_at >= from && each.m_at < to) {
                ++sent_count;
                begun_count += begun.contains(each.m_attempt) ? 1U : 0U;
            }
        }
        REQUIRE(sent_count != 0U);
        return static_cast<double>(begun_count) / static_cast<double>(sent_count);
    }

    std::vector<request_kind> m_kinds{};
    std::vector<sent_request> m_sent{};
    std::vector<std::future<process::call_result>> m_running{};
    std::map<bool, std::size_t> m_turns{};
    std::size_t m_count{};
    std::size_t m_tick_count{};
};

/*! @brief Returns the sound kinds of request and one that has a guilty part after the shared ones. */
[[nodiscard]] auto kinds_with(const std::vector<std::string>& guilty_parts) -> std::vector<request_kind> {
    auto out = sound_kinds();
    for (const auto& each : guilty_parts) {
        auto parts = shared_prompt;
        parts.push_back(each);
        out.push_back({"a", parts, true});
    }
    return out;
}

} // namespace

TEST_CASE("requests with a part that crashes runners are held back, and sound requests beside them are served") {
    trouble run{kinds_with({"dead01"})};
    run.run_trouble({"dead01"});
    run.check_arrivals("dead01");
    run.check_sound_service("dead01");
}

TEST_CASE("two parts that crash runners at the same time are both held back") {
    trouble run{kinds_with({"dead01", "dead02"})};
    run.run_trouble({"dead01", "dead02"});
    for (const auto* const part : {"dead01", "dead02"}) {
        run.check_arrivals(part);
        run.check_sound_service(part);
    }
}

TEST_CASE("a part that comes first in the prompt and crashes runners is held back") {
    auto kinds = sound_kinds();
    kinds.push_back({"a", {"dead01", "bb02"}, true});
    trouble run{kinds};
    run.run_trouble({"dead01"});
    run.check_arrivals("dead01");
    run.check_sound_service("dead01");
}

TEST_CASE("crashes that no part causes hold back no part") {
    constexpr unsigned crash_count = 12U;
    trouble run{sound_kinds()};
    run.send_for(false, quiet_time);
    run.m_trouble_began_at = steady_now();
    std::mt19937_64 random{20'261'203U};
    for (unsigned count = 0U; count < crash_count; ++count) {
        run.m_fixture.m_site.run_in_loop(
            [&](standin_site::site& site) { site.servers()[random() % crashing_site.m_runner_count]->crash({}); });
        run.send_for(false, std::chrono::milliseconds{250U + random() % 500U});
    }
    const auto last = run.learned_at({});
    const auto ended_at = steady_now();
    REQUIRE(last != time_point{});
    run.send_for(false, service_notice + measured_time);
    for (std::size_t kind = 0U; kind < sound_kinds().size(); ++kind) {
        run.check_service(kind, ended_at + service_notice);
    }
}

TEST_CASE("a part that crashes runners no more is served again") {
    trouble run{kinds_with({"dead01"})};
    run.set_crash_parts({"dead01"});
    run.send_until(true, [&] { return run.observe().m_crashes.size() >= 3U; });
    run.send_for(true, std::chrono::seconds{1});
    run.set_crash_parts({});
    unsigned number{};
    CHECK(process::wait_until([&] {
        auto parts = shared_prompt;
        parts.emplace_back("dead01");
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
        const auto result = run.m_fixture.start_prompt("a9-" + std::to_string(++number), "a", parts, 0U).get();
        return result.m_end.m_code == code::ok && result.m_response.m_status == 200U;
    }));
}

TEST_CASE("a gateway that restarts while a part is held back holds it back") {
    trouble run{kinds_with({"dead01"})};
    run.run_trouble({"dead01"});
    run.m_fixture.m_fleet.send_signal(1U, SIGKILL);
    static_cast<void>(run.m_fixture.m_fleet.daemons()[1U].m_process->wait());
    run.m_fixture.m_fleet.start_daemon(1U);
    const auto restarted_at = steady_now();
    run.send_for(true, service_notice + measured_time);
    run.check_arrivals("dead01");
    for (std::size_t kind = 0U; kind < sound_kinds().size(); ++kind) {
        run.check_service(kind, restarted_at + service_notice);
    }
}

} // namespace rhubarbwharf::soak
