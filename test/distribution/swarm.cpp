#include <algorithm>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "distribution/fleet.hpp"

namespace distribution = rhubarbwharf::distribution;
using distribution::bit_set;
using distribution::fetch_result;
using distribution::test::faults;
using distribution::test::fleet;
using rhubarbwharf::instance_id;
using rhubarbwharf::region_id;

namespace {

/*! @brief Steps within which every run must complete: 15 minutes of simulated time. */
constexpr std::uint32_t max_steps = 9'000;

[[nodiscard]] auto random_below(const int limit) -> std::uint32_t {
    return static_cast<std::uint32_t>(*rc::gen::inRange(0, limit));
}

[[nodiscard]] auto make_fleet(const distribution::policy& rules) -> fleet {
    const auto nodes = *rc::gen::inRange(1U, 24U);
    const auto regions = *rc::gen::inRange(1U, 5U);
    const auto chunks = *rc::gen::inRange(1U, 130U);
    const auto seed = *rc::gen::arbitrary<std::uint64_t>();
    return {nodes, std::min(regions, nodes), chunks, seed, rules};
}

auto run_to_end(fleet& nodes, const faults& injected) -> void {
    while (!nodes.is_complete() && nodes.m_current_step < max_steps) {
        nodes.step(injected);
        RC_ASSERT(nodes.is_correct());
    }
    RC_ASSERT(nodes.is_complete());
}

} // namespace

TEST_CASE("every instance holds the whole version once faults stop, and never a wrong chunk") {
    CHECK(rc::check([] {
        auto nodes = make_fleet({});
        faults injected{};
        injected.m_lost_percent = random_below(50);
        injected.m_duplicated_percent = random_below(30);
        injected.m_delayed_percent = random_below(50);
        injected.m_corrupted_percent = random_below(30);
        injected.m_failed_percent = random_below(30);
        injected.m_restarted_percent = random_below(3);
        injected.m_end_step = random_below(400);
        while (nodes.m_current_step < injected.m_end_step) {
            nodes.step(injected);
            RC_ASSERT(nodes.is_correct());
        }
        run_to_end(nodes, injected);
    }));
}

TEST_CASE("without faults each chunk enters each region once, except for a few concurrent fetches") {
    CHECK(rc::check([] {
        auto nodes = make_fleet({});
        run_to_end(nodes, {});
        std::uint32_t duplicates = 0;
        for (const auto arrivals : nodes.m_region_arrivals) {
            duplicates += arrivals > 1U ? arrivals - 1U : 0U;
        }
        RC_ASSERT(
            std::ranges::all_of(nodes.m_region_arrivals, [](const std::uint32_t arrivals) { return arrivals >= 1U; }));
        RC_ASSERT(duplicates <= 2U + nodes.m_region_arrivals.size() / 20U);
        RC_ASSERT(nodes.m_completion_reports == nodes.m_nodes.size());
    }));
}

TEST_CASE("the origin is read about once if one copy is allowed and there is one region") {
    CHECK(rc::check([] {
        const auto chunks = *rc::gen::inRange(1U, 200U);
        fleet nodes{*rc::gen::inRange(1U, 16U), 1U, chunks, *rc::gen::arbitrary<std::uint64_t>(), {}};
        run_to_end(nodes, {});
        std::uint32_t reads = 0;
        std::ranges::for_each(nodes.m_region_arrivals, [&reads](const std::uint32_t arrivals) { reads += arrivals; });
        RC_ASSERT(reads <= chunks + 2U + chunks / 20U);
    }));
}

TEST_CASE("a chunk that is not verified is not uploaded") {
    auto state = distribution::make_swarm(instance_id{0}, 1U, bit_set{3U}, {});
    CHECK(distribution::begin_upload(state, 1U, instance_id{1}, false, {}, {}) == fetch_result::not_held);
    distribution::add_chunk(state, 1U, {});
    CHECK(distribution::begin_upload(state, 1U, instance_id{1}, false, {}, {}) == fetch_result::verified);
    distribution::end_upload(state, false);
}

TEST_CASE("an instance that was refused gets the next free upload") {
    distribution::policy rules{};
    rules.m_max_uploads = 1;
    bit_set held{1U};
    held.emplace(0U);
    auto state = distribution::make_swarm(instance_id{0}, 1U, held, {});
    CHECK(distribution::begin_upload(state, 0U, instance_id{1}, false, rules, {}) == fetch_result::verified);
    CHECK(distribution::begin_upload(state, 0U, instance_id{2}, false, rules, {}) == fetch_result::busy);
    distribution::end_upload(state, false);
    CHECK(distribution::begin_upload(state, 0U, instance_id{1}, false, rules, {}) == fetch_result::busy);
    CHECK(distribution::begin_upload(state, 0U, instance_id{2}, false, rules, {}) == fetch_result::verified);
}

TEST_CASE("no chunk is requested from a source during the backoff after a corrupt chunk") {
    const distribution::policy rules{};
    const std::vector<distribution::member> members{{11U, region_id{0}, true}, {12U, region_id{0}, true}};
    const std::vector<std::uint64_t> regions{5U, 6U};
    auto state = distribution::make_swarm(instance_id{0}, 1U, bit_set{4U}, {});
    distribution::set_members(state, members, regions, region_id{1}, rules, {});
    bit_set full{4U};
    for (std::uint32_t chunk = 0; chunk < 4U; ++chunk) {
        full.emplace(chunk);
    }
    distribution::apply_have_map(state, instance_id{1}, region_id{0}, full, {}, {});
    std::vector<distribution::command> commands{};
    distribution::plan(state, rules, {}, 1U, commands);
    const auto fetch = std::ranges::find(commands, distribution::command_kind::fetch, &distribution::command::m_kind);
    REQUIRE(fetch != commands.end());
    for (const auto& issued : commands) {
        distribution::finish_fetch(state, issued.m_attempt, fetch_result::corrupt, rules, {});
    }
    CHECK(state.m_held_chunks.count() == 0U);
    commands.clear();
    distribution::plan(state, rules, rhubarbwharf::time_point{rules.m_corrupt_backoff / 2}, 1U, commands);
    CHECK(std::ranges::none_of(commands, [](const distribution::command& issued) {
        return issued.m_kind == distribution::command_kind::fetch && issued.m_source == instance_id{1};
    }));
}
