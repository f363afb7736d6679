#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/gate.hpp>

namespace rhubarbwharf::agent {

namespace {

[[nodiscard]] auto digest_of(const std::uint8_t number) -> digest {
    digest value{};
    value.m_bytes.fill(number);
    return value;
}

[[nodiscard]] auto version_of(const std::uint8_t number) -> version {
    return {
        "chef", digest_of(number), number == 0 ? digest{} : digest_of(static_cast<std::uint8_t>(number + 100)), {}, {}};
}

[[nodiscard]] auto target_of(const std::uint8_t number, const std::uint64_t ticket) -> target {
    auto wanted = version_of(number);
    wanted.m_content = {};
    return {wanted, ticket_number{ticket}, ticket_number{ticket}, true};
}

[[nodiscard]] auto state_of(const std::uint8_t number, const order_number& order) -> engine_state {
    engine_state state{};
    state.m_version = version_of(number);
    state.m_order = order;
    return state;
}

[[nodiscard]] auto probe_of(const std::uint8_t number) -> probe_result {
    return {state_of(number, {}), false};
}

[[nodiscard]] auto complete_input(const std::uint8_t number, const bool turn, const std::uint32_t in_progress)
    -> gate_input {
    return {true, version_of(number).m_content, turn, in_progress, 1, time_point{std::chrono::hours{1}}};
}

/*! @brief Engine with optional fencing checks, whose version may also change without a load order. */
struct fake_engine {
    std::uint8_t m_version{};
    order_number m_highest_order{};
    bool m_checks_fencing{true};
    std::uint64_t m_crashes{};

    [[nodiscard]] auto report() const -> engine_state {
        auto reported = state_of(m_version, m_highest_order);
        reported.m_crashes = m_crashes;
        return reported;
    }

    auto load(const gate_command& command) -> bool {
        if (m_checks_fencing && command.m_order < m_highest_order) {
            return false;
        }
        m_highest_order = command.m_order;
        m_version = command.m_version.m_manifest.m_bytes[0];
        return true;
    }
};

} // namespace

TEST_CASE("the gate opens for the version that the engine confirms, and closes when it changes without a load order") {
    gate state{};
    CHECK(admits(state, {}) == code::no_backend_server);
    CHECK_FALSE(on_probe(state, probe_of(0)));
    CHECK(on_probe(state, probe_of(1)));
    CHECK(admits(state, digest_of(1)) == code::ok);
    CHECK(admits(state, digest_of(2)) == code::wrong_version);
    CHECK(on_probe(state, probe_of(2)));
    CHECK(admits(state, {}) == code::no_backend_server);
    CHECK(on_probe(state, {std::nullopt, true}) == false);
}

TEST_CASE("a load order waits for its turn and for requests in progress, and opens the gate only once confirmed") {
    gate state{};
    static_cast<void>(on_probe(state, probe_of(1)));
    CHECK(set_target(state, target_of(2, 7)));
    CHECK(step(state, complete_input(2, false, 3)).m_kind == gate_command::kind::none);
    CHECK(admits(state, digest_of(1)) == code::ok);
    CHECK(step(state, complete_input(2, true, 3)).m_kind == gate_command::kind::none);
    CHECK(state.m_phase == phase::closing);
    CHECK(admits(state, {}) == code::no_backend_server);
    const auto command = step(state, complete_input(2, false, 0));
    REQUIRE(command.m_kind == gate_command::kind::load);
    CHECK_FALSE(on_probe(state, probe_of(2)));
    SUBCASE("confirmed") {
        on_loaded(state, true, state_of(2, command.m_order), {});
        CHECK(admits(state, digest_of(2)) == code::ok);
        CHECK(state.m_ticket == ticket_number{7});
    }
    SUBCASE("accepted, but another version is read back") {
        on_loaded(state, true, state_of(3, command.m_order), {});
        CHECK(admits(state, {}) == code::no_backend_server);
    }
    SUBCASE("accepted, but another agent has sent a later order") {
        on_loaded(state, true, state_of(2, {ticket_number{7}, 2}), {});
        CHECK(admits(state, {}) == code::no_backend_server);
        CHECK(state.m_is_fenced);
    }
}

TEST_CASE("setting the same target again changes nothing") {
    gate state{};
    CHECK(set_target(state, target_of(2, 7)));
    CHECK_FALSE(set_target(state, target_of(2, 7)));
    CHECK(state.m_target->m_ticket == ticket_number{7});
}

TEST_CASE("a ticket without a version is in force with any complete version") {
    gate state{};
    static_cast<void>(on_probe(state, probe_of(1)));
    CHECK(set_target(state, target_of(0, 4)));
    CHECK_FALSE(needs_load(state));
    CHECK(state.m_ticket == ticket_number{4});
    CHECK(admits(state, digest_of(1)) == code::ok);
}

TEST_CASE("with random events, no request is admitted for a version that the engine did not confirm") {
    CHECK(rc::check("gate", [] {
        gate state{};
        fake_engine engine{};
        engine.m_checks_fencing = *rc::gen::arbitrary<bool>();
        gate_command order{};
        std::uint64_t ticket{};
        std::uint32_t in_progress{};
        version last_reported{};
        auto now = time_point{std::chrono::hours{1}};
        const auto events = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 100));
        for (const auto event : events) {
            now += std::chrono::milliseconds{300};
            const auto previous_generation = state.m_generation;
            if (event < 20) {
                engine.m_crashes += event == 0 ? 1 : 0;
                last_reported = engine.report().m_version;
                static_cast<void>(on_probe(state, {engine.report(), false}));
            } else if (event < 25) {
                static_cast<void>(on_probe(state, {std::nullopt, event == 20}));
            } else if (event < 30) {
                engine.m_version = static_cast<std::uint8_t>(event - 25);
            } else if (event < 35) {
                static_cast<void>(set_target(state, target_of(static_cast<std::uint8_t>(event - 29), ++ticket)));
            } else if (event < 50) {
                in_progress += admits(state, {}) == code::ok ? 1 : 0;
            } else if (event < 65) {
                in_progress -= in_progress > 0 ? 1 : 0;
            } else if (event < 85 && !state.m_load_in_progress) {
                const auto number = state.m_target ? state.m_target->m_version.m_manifest.m_bytes[0] : std::uint8_t{};
                auto input = complete_input(number, event < 75, in_progress);
                input.m_now = now;
                order = step(state, input);
                RC_ASSERT(order.m_kind != gate_command::kind::load || in_progress == 0);
            } else if (state.m_load_in_progress) {
                const auto accepted = engine.load(order);
                engine.m_version = event < 90 ? std::uint8_t{4} : engine.m_version;
                last_reported = engine.report().m_version;
                on_loaded(state, accepted, event == 99 ? std::nullopt : std::optional{engine.report()}, now);
            }
            RC_ASSERT(state.m_generation >= previous_generation);
            if (admits(state, {}) == code::ok) {
                RC_ASSERT(state.m_confirmed_version.m_manifest == last_reported.m_manifest);
                RC_ASSERT(state.m_confirmed_version.m_manifest != digest{});
                RC_ASSERT(!state.m_load_in_progress);
            }
        }
    }));
}

} // namespace rhubarbwharf::agent
