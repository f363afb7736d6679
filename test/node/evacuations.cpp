#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/fixture.hpp>
#include <node/core.hpp>
#include <node/evacuations.hpp>
#include <standin-site/store.hpp>

namespace rhubarbwharf::node {

namespace {

[[nodiscard]] auto make_settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

[[nodiscard]] auto pulse_with_evacuation(const std::uint64_t era, const std::uint64_t revision, const bool is_active)
    -> std::string {
    wire::fleet::Frame frame{};
    frame.set_protocol(frame_protocol_version);
    auto& pulse = *frame.mutable_pulse();
    pulse.mutable_self()->set_instance("gateway-2");
    pulse.set_store_era(era);
    auto& told = *pulse.add_evacuations();
    told.set_data_centre("dc");
    told.set_era(era);
    told.set_revision(revision);
    told.set_active(is_active);
    return frame.SerializeAsString();
}

[[nodiscard]] auto is_evacuated(const core& self) -> bool {
    return fleet::is_evacuated(self.m_evacuations, "dc");
}

/*! @brief A core that follows a stand-in store. */
struct core_fixture {
    core_fixture() {
        m_core.m_store.set_address(m_store.listen());
        REQUIRE(start(m_core));
    }

    [[nodiscard]] auto wait_until(const std::function<bool()>& condition) -> bool {
        return net::run_until(m_core.m_loop, condition);
    }

    auto let_pass(const duration time) -> void {
        const auto end = steady_now() + time;
        REQUIRE(wait_until([end] { return steady_now() >= end; }));
    }

    core m_core{make_settings(), true};
    standin_site::store m_store{m_core.m_loop};
};

} // namespace

TEST_CASE("a gateway that the store does not answer learns evacuations and their ends from heartbeats") {
    core self{make_settings(), true};
    std::string changed{};
    self.m_handlers.m_on_evacuation = [&](const std::string& data_centre) {
        changed += data_centre;
    };
    on_message(self, "gateway-2", pulse_with_evacuation(1U, 5U, true));
    CHECK(is_evacuated(self));
    on_message(self, "gateway-2", pulse_with_evacuation(1U, 4U, false));
    CHECK(is_evacuated(self));
    on_message(self, "gateway-2", pulse_with_evacuation(1U, 7U, false));
    CHECK_FALSE(is_evacuated(self));
    CHECK(changed == "dcdc");
}

TEST_CASE("a process that starts learns evacuations from the state of its seed") {
    core seed{make_settings(), true};
    on_message(seed, "gateway-2", pulse_with_evacuation(1U, 5U, true));
    core started{make_settings(), true};
    accept_state(started, startup_state(seed, "region", false), "seed");
    CHECK(is_evacuated(started));
}

TEST_CASE("an evacuation lasts until its key is removed, also if only a listing shows that") {
    core_fixture fixture{};
    fixture.m_store.put("op/evacuate/dc", "{}");
    REQUIRE(fixture.wait_until([&] { return is_evacuated(fixture.m_core); }));
    fixture.m_store.remove("op/evacuate/dc");
    REQUIRE(fixture.wait_until([&] { return !is_evacuated(fixture.m_core); }));
    fixture.m_store.put("op/evacuate/dc", "{}");
    REQUIRE(fixture.wait_until([&] { return is_evacuated(fixture.m_core); }));
    // The watch does not deliver what the store has discarded, so that the keys are listed again.
    fixture.m_core.m_operator_follower->pause();
    fixture.m_store.remove("op/evacuate/dc");
    fixture.m_store.compact();
    fixture.m_core.m_operator_follower->resume({});
    CHECK(fixture.wait_until([&] { return !is_evacuated(fixture.m_core); }));
}

TEST_CASE("an evacuation that a new era lacks stays while operators write again, and ends if they do not") {
    constexpr duration copy_age = std::chrono::milliseconds{150};
    core_fixture fixture{};
    fixture.m_store.put("op/config", "{}");
    fixture.let_pass(copy_age * 3);
    fixture.m_store.put("op/evacuate/dc", "{}");
    REQUIRE(fixture.wait_until([&] { return is_evacuated(fixture.m_core); }));
    const auto restored = steady_now();
    fixture.m_store.restore(copy_age, std::chrono::hours{1});
    REQUIRE(fixture.wait_until([&] { return !is_evacuated(fixture.m_core); }));
    CHECK(steady_now() - restored >= store_recovery_window);
    CHECK(fixture.m_core.m_store.era() == 2U);
}

} // namespace rhubarbwharf::node
