#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <node/core.hpp>

namespace rhubarbwharf::node {

namespace {

constexpr duration hour = std::chrono::hours{1};

[[nodiscard]] auto gateway_settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

[[nodiscard]] auto pulse_with_limit(const double per_s, const std::uint32_t age_ms) -> std::string {
    wire::fleet::Frame frame{};
    frame.set_protocol(frame_protocol_version);
    auto& pulse = *frame.mutable_pulse();
    pulse.mutable_self()->set_instance("gateway-2");
    auto& limit = *pulse.add_server_limits();
    limit.set_id("s");
    limit.set_started(7U);
    limit.set_per_s(per_s);
    limit.set_age_ms(age_ms);
    return frame.SerializeAsString();
}

} // namespace

TEST_CASE("a gateway learns limits from heartbeats, and an older one does not replace a newer one") {
    core self{gateway_settings(), true};
    std::string changed{};
    self.m_handlers.m_on_server = [&](const std::string& id) {
        changed += id;
    };
    on_message(self, "gateway-2", pulse_with_limit(1.5, 1'000U));
    CHECK(fleet::limit_of(self.m_server_limits, "s", 7U) == 1.5);
    on_message(self, "gateway-2", pulse_with_limit(9.0, 2'000U));
    CHECK(fleet::limit_of(self.m_server_limits, "s", 7U) == 1.5);
    note_server_limit(self, "s", {7U, 0.5, steady_now()}, steady_now() - hour);
    on_message(self, "gateway-2", pulse_with_limit(fleet::no_limit, 500U));
    CHECK(fleet::limit_of(self.m_server_limits, "s", 7U) == 0.5);
    CHECK(changed == "ss");
}

TEST_CASE("a heartbeat that waited while the process stood still does not overrule what its servers said since") {
    core self{gateway_settings(), true};
    const auto now = steady_now();
    note_server_limit(self, "s", {7U, 0.5, now - hour / 2}, now - hour);
    self.m_stalls.m_periods.push_back({now - hour, now, now + hour});
    on_message(self, "gateway-2", pulse_with_limit(fleet::no_limit, 0U));
    CHECK(fleet::limit_of(self.m_server_limits, "s", 7U) == 0.5);
}

TEST_CASE("a heartbeat with a limit that is no number, or negative, is ignored") {
    core self{gateway_settings(), true};
    on_message(self, "gateway-2", pulse_with_limit(-1.0, 0U));
    on_message(self, "gateway-2", pulse_with_limit(std::numeric_limits<double>::quiet_NaN(), 0U));
    CHECK(self.m_server_limits.empty());
}

} // namespace rhubarbwharf::node
