#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "distribution/fleet.hpp"

namespace distribution = rhubarbwharf::distribution;
using distribution::bit_set;
using distribution::fetch_end;
using distribution::test::faults;
using distribution::test::fleet;
using rhubarbwharf::instance_id;
using rhubarbwharf::region_id;

namespace {

/*! @brief Steps within which every run ends: 15 minutes of its own time. */
constexpr std::uint32_t most_steps = 9'000;

[[nodiscard]] auto chance(const int most) -> std::uint32_t {
    return static_cast<std::uint32_t>(*rc::gen::inRange(0, most));
}

[[nodiscard]] auto make_fleet(const distribution::policy& rules) -> fleet {
    const auto nodes = *rc::gen::inRange(1U, 24U);
    const auto regions = *rc::gen::inRange(1U, 5U);
    const auto chunks = *rc::gen::inRange(1U, 130U);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    return {nodes, std::min(regions, nodes), chunks, seed, rules};
}

auto run_to_end(fleet& nodes, const faults& wrong) -> void {
    while (!nodes.is_complete() && nodes.m_current_step < most_steps) {
        nodes.step(wrong);
        RC_ASSERT(nodes.is_correct());
    }
    RC_ASSERT(nodes.is_complete());
}

} // namespace

TEST_CASE("every run ends whole, and never with a wrong chunk, once faults stop") {
    CHECK(rc::check([] {
        auto nodes = make_fleet({});
        faults wrong{};
        wrong.m_lost_percent = chance(50);
        wrong.m_duplicated_percent = chance(30);
        wrong.m_delayed_percent = chance(50);
        wrong.m_corrupted_percent = chance(30);
        wrong.m_failed_percent = chance(30);
        wrong.m_restarted_percent = chance(3);
        wrong.m_end_step = chance(400);
        while (nodes.m_current_step < wrong.m_end_step) {
            nodes.step(wrong);
            RC_ASSERT(nodes.is_correct());
        }
        run_to_end(nodes, wrong);
    }));
}

TEST_CASE("without a failure each chunk enters each region once, but for a few that race") {
    CHECK(rc::check([] {
        auto nodes = make_fleet({});
        run_to_end(nodes, {});
        std::uint32_t doubled = 0;
        for (const auto times : nodes.m_region_arrivals) {
            doubled += times > 1U ? times - 1U : 0U;
        }
        RC_ASSERT(std::ranges::all_of(nodes.m_region_arrivals, [](const std::uint32_t times) { return times >= 1U; }));
        RC_ASSERT(doubled <= 2U + nodes.m_region_arrivals.size() / 20U);
        RC_ASSERT(nodes.m_completion_reports == nodes.m_nodes.size());
    }));
}

TEST_CASE("with one copy allowed and one region the origin is read once") {
    CHECK(rc::check([] {
        const auto chunks = *rc::gen::inRange(1U, 200U);
        fleet nodes{*rc::gen::inRange(1U, 16U), 1U, chunks, *rc::gen::arbitrary<std::uint64_t>(), {}};
        run_to_end(nodes, {});
        std::uint32_t reads = 0;
        std::ranges::for_each(nodes.m_region_arrivals, [&reads](const std::uint32_t times) { reads += times; });
        RC_ASSERT(reads <= chunks + 2U + chunks / 20U);
    }));
}

TEST_CASE("a chunk that is not verified is never offered") {
    auto state = distribution::make_swarm(instance_id{0}, 1U, bit_set{3U}, {});
    CHECK(distribution::begin_upload(state, 1U, instance_id{1}, false, {}, {}) == fetch_end::not_held);
    distribution::take_chunk(state, 1U, {});
    CHECK(distribution::begin_upload(state, 1U, instance_id{1}, false, {}, {}) == fetch_end::verified);
    distribution::end_upload(state, false);
}

TEST_CASE("an instance that was refused gets the next free upload") {
    distribution::policy rules{};
    rules.m_uploads = 1;
    bit_set held{1U};
    held.emplace(0U);
    auto state = distribution::make_swarm(instance_id{0}, 1U, held, {});
    CHECK(distribution::begin_upload(state, 0U, instance_id{1}, false, rules, {}) == fetch_end::verified);
    CHECK(distribution::begin_upload(state, 0U, instance_id{2}, false, rules, {}) == fetch_end::busy);
    distribution::end_upload(state, false);
    CHECK(distribution::begin_upload(state, 0U, instance_id{1}, false, rules, {}) == fetch_end::busy);
    CHECK(distribution::begin_upload(state, 0U, instance_id{2}, false, rules, {}) == fetch_end::verified);
}

TEST_CASE("a source that sent a corrupt chunk is left alone for its time") {
    const distribution::policy rules{};
    const std::vector<distribution::member> members{{11U, region_id{0}, true}, {12U, region_id{0}, true}};
    const std::vector<std::uint64_t> regions{5U, 6U};
    auto state = distribution::make_swarm(instance_id{0}, 1U, bit_set{4U}, {});
    distribution::set_members(state, members, regions, region_id{1}, rules, {});
    bit_set full{4U};
    for (std::uint32_t chunk = 0; chunk < 4U; ++chunk) {
        full.emplace(chunk);
    }
    distribution::take_have(state, instance_id{1}, region_id{0}, full, {}, {});
    std::vector<distribution::command> orders{};
    distribution::plan(state, rules, {}, 1U, orders);
    const auto fetch = std::ranges::find(orders, distribution::command_kind::fetch, &distribution::command::m_kind);
    REQUIRE(fetch != orders.end());
    for (const auto& order : orders) {
        distribution::take_end(state, order.m_attempt, fetch_end::corrupt, rules, {});
    }
    CHECK(state.m_held.count() == 0U);
    orders.clear();
    distribution::plan(state, rules, rhubarbwharf::time_point{rules.m_corrupt_backoff / 2}, 1U, orders);
    CHECK(std::ranges::none_of(orders, [](const distribution::command& order) {
        return order.m_kind == distribution::command_kind::fetch && order.m_source == instance_id{1};
    }));
}
