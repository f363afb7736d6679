#include <array>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>
#include <rhubarbwharf/dispatch/turns.hpp>

namespace rhubarbwharf::dispatch {

namespace {

const time_point start{std::chrono::hours{1}};
constexpr duration second = std::chrono::seconds{1};

[[nodiscard]] auto names_of(const std::size_t count) -> std::vector<std::string> {
    std::vector<std::string> out{};
    for (std::size_t index = 0U; index < count; ++index) {
        out.push_back("gateway-" + std::to_string(index));
    }
    return out;
}

[[nodiscard]] auto views_of(const std::vector<std::string>& names) -> std::vector<std::string_view> {
    return {names.begin(), names.end()};
}

[[nodiscard]] auto limited_server(const std::string& id, const double per_s) -> std::shared_ptr<server_load> {
    auto out = std::make_shared<server_load>();
    out->m_id = id;
    out->m_quota = 4.0;
    out->m_slots = 4U;
    out->m_turns = turn_share{per_s, 0.0, start};
    return out;
}

} // namespace

TEST_CASE("the shares of all gateways sum up to the limit, and the saved turns stay within the allowed burst") {
    for (const auto count : {1U, 3U, 9U, 44U, 98U, 370U}) {
        const auto names = names_of(count);
        const auto gateways = views_of(names);
        for (const auto per_s : {0.2, 1.0, 1.4, 7.5, 60.0, 1e9}) {
            CAPTURE(count);
            CAPTURE(per_s);
            double sum{};
            std::size_t holders{};
            for (const auto& name : names) {
                const auto share = divide_limit(gateways, name, {"server", per_s, {}});
                sum += share;
                holders += share > 0.0 ? 1U : 0U;
            }
            CHECK(sum == doctest::Approx(per_s));
            CHECK(static_cast<double>(holders) + 4.0 * per_s <= 6.0 * per_s + 5.0);
        }
    }
}

TEST_CASE("a limit of nothing leaves a small flow, as only a response can lift it") {
    const auto names = names_of(9U);
    double sum{};
    for (const auto& name : names) {
        sum += divide_limit(views_of(names), name, {"server", 0.0, {}});
    }
    CHECK(sum == doctest::Approx(min_divided_limit_per_s));
}

TEST_CASE("a gateway that leaves moves its own share only") {
    const auto names = names_of(44U);
    for (std::size_t leaving = 0U; leaving < names.size(); ++leaving) {
        auto others = names;
        others.erase(others.begin() + static_cast<std::ptrdiff_t>(leaving));
        auto begun = 0;
        for (const auto& name : others) {
            const auto before = divide_limit(views_of(names), name, {"server", 1.0, {}});
            const auto after = divide_limit(views_of(others), name, {"server", 1.0, {}});
            CHECK((before == 0.0 || after == before));
            begun += before == 0.0 && after > 0.0 ? 1 : 0;
        }
        CHECK(begun <= 1);
    }
    CHECK(divide_limit(views_of(names), "unknown", {"server", 1.0, {}}) == 0.0);
}

TEST_CASE(
    "a limit that no response renews is held by every gateway in time, and by the same ones while responses come") {
    const auto names = names_of(98U);
    const auto gateways = views_of(names);
    for (const auto& name : {names.front(), names.back()}) {
        const auto first = divide_limit(gateways, name, {"server", 1.0, duration::zero()});
        CHECK(divide_limit(gateways, name, {"server", 1.0, 10 * second}) == first);
        auto held = false;
        for (auto age = duration::zero(); age < std::chrono::hours{4} && !held; age += second) {
            held = divide_limit(gateways, name, {"server", 1.0, age}) > 0.0;
        }
        CHECK(held);
    }
}

TEST_CASE("turns are not saved up while a gateway sleeps, and a new share begins without one") {
    turn_share share{0.0, 0.0, start};
    set_rate(share, 0.5, start);
    CHECK_FALSE(has_turn(share, start));
    CHECK(time_until_turn(share, start) == 2 * second);
    const auto woken = start + 3'600 * second;
    CHECK(has_turn(share, woken));
    take_turn(share, woken);
    CHECK_FALSE(has_turn(share, woken));
    CHECK(has_turn(share, woken + 2 * second));
    set_rate(share, 0.0, woken + 2 * second);
    CHECK_FALSE(has_turn(share, woken + 3'600 * second));
    CHECK(time_until_turn(share, woken) == duration::max());
    set_rate(share, 0.5, woken + 3'600 * second);
    CHECK_FALSE(has_turn(share, woken + 3'600 * second));
}

TEST_CASE("a server without a turn is passed over, and one request takes the turn") {
    const auto limited = limited_server("a", 1.0);
    const auto free = limited_server("b", 1.0);
    free->m_turns.reset();
    const std::array<const server_load*, 2U> rows{limited.get(), free.get()};
    CHECK(choose_server(rows, nullptr, {}, {}, 7U, start)->m_index == 1U);
    const std::array<const server_load*, 1U> only{limited.get()};
    CHECK_FALSE(choose_server(only, nullptr, {}, {}, 7U, start));
    CHECK(choose_server(only, nullptr, {}, {}, 7U, start + second));
    record_request(*limited, start + second);
    CHECK_FALSE(choose_server(only, nullptr, {}, {}, 7U, start + second));
}

TEST_CASE("the time of the next turn counts those that wait, if all servers have named limits") {
    std::vector rows{limited_server("a", 1.0), limited_server("b", 0.25)};
    const auto outlook = find_turns(rows, {}, start);
    REQUIRE(outlook);
    CHECK(wait_for_turn(*outlook, 0U) == second);
    CHECK(wait_for_turn(*outlook, 5U) == 5 * second);
    rows.push_back(limited_server("c", 1.0));
    rows.back()->m_turns.reset();
    CHECK_FALSE(find_turns(rows, {}, start));
    rows = {limited_server("a", 0.0)};
    CHECK(wait_for_turn(find_turns(rows, {}, start).value(), 0U) == duration::max());
    rows.front()->m_draining = true;
    CHECK_FALSE(find_turns(rows, {}, start));
}

} // namespace rhubarbwharf::dispatch
