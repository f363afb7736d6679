#include <doctest/doctest.h>

#include <gateway/loads.hpp>
#include <node/wire.hpp>

namespace rhubarbwharf::gateway {

namespace {

const net::endpoint address{"127.0.0.1", 9U};

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_region = "ost";
    out.m_data_centre = "ost-a";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

auto add_server(daemon& self, const std::string& id, const std::uint64_t started, const std::uint64_t revision)
    -> dispatch::server_load& {
    fleet::backend_server row{};
    row.m_id = id;
    row.m_started_ms = started;
    row.m_service = "llm";
    row.m_address = address;
    row.m_data_centre = "ost-a";
    row.m_slots = 8U;
    row.m_models = {{"m", 1U, std::nullopt}};
    row.m_store_version = {0U, revision};
    REQUIRE(fleet::merge_server(self.m_core.m_servers, row));
    refresh_backend(self, id);
    return *self.m_backends.at(id);
}

[[nodiscard]] auto load_of(const std::uint64_t started, const unsigned running) -> wire::fleet::Load {
    wire::fleet::Load out{};
    out.set_address(net::to_string(address));
    out.set_started(started);
    out.set_running(running);
    out.set_alive(true);
    out.set_pace(1.0);
    auto* const model = out.add_models();
    model->set_name("m");
    model->set_version(1U);
    return out;
}

[[nodiscard]] auto is_eligible(const dispatch::server_load& row) -> bool {
    return dispatch::is_eligible(row, {900.0, "m", 1U, 0U, 0U, {}}, steady_now());
}

} // namespace

// Load pattern: a power cut of all. The platform lists the incarnations that have ended for some seconds, and each
// request was sent to two of them, refused and sent back.
TEST_CASE("an incarnation whose machine reports a later one gets no request though the platform still lists it") {
    daemon self{settings(), {}};
    auto& ended = add_server(self, "i-1", 1'000U, 5U);
    internal::on_load(self, "loader-1", load_of(1'000U, 0U));
    CHECK(is_eligible(ended));
    internal::on_load(self, "loader-1", load_of(2'000U, 0U));
    CHECK_FALSE(is_eligible(ended));
    auto& next = add_server(self, "i-2", 2'000U, 6U);
    internal::on_load(self, "loader-1", load_of(2'000U, 0U));
    CHECK(is_eligible(next));
    CHECK_FALSE(is_eligible(ended));
}

TEST_CASE("a report of an incarnation withdraws that it was replaced, whichever of both started later by its clock") {
    daemon self{settings(), {}};
    auto& first = add_server(self, "i-1", 1'000U, 5U);
    auto& second = add_server(self, "i-2", 900U, 6U);
    internal::on_load(self, "loader-1", load_of(1'000U, 0U));
    CHECK_FALSE(is_eligible(second));
    internal::on_load(self, "loader-1", load_of(900U, 0U));
    CHECK(is_eligible(second));
    CHECK_FALSE(is_eligible(first));
}

TEST_CASE("a last report of a former incarnation keeps the new one out only until the next report is due") {
    daemon self{settings(), {}};
    static_cast<void>(add_server(self, "i-1", 1'000U, 5U));
    auto& started = add_server(self, "i-2", 2'000U, 6U);
    internal::on_load(self, "loader-1", load_of(1'000U, 0U));
    REQUIRE_FALSE(is_eligible(started));
    CHECK(dispatch::is_eligible(started, {}, steady_now() + dispatch::stale_report_age));
}

TEST_CASE("a load that another region tells counts from its report, and never replaces a later one") {
    daemon self{settings(), {}};
    auto& row = add_server(self, "i-1", 1'000U, 5U);
    wire::fleet::RegionLoads update{};
    update.set_region("west");
    auto& told = *update.add_servers();
    told.set_id("i-1");
    told.set_started(1'000U);
    told.set_running(7U);
    told.set_pace(1.0);
    told.set_age_ms(600U);
    internal::on_region_loads(self, "gateway-9", update);
    CHECK(row.m_other_requests == doctest::Approx(7.0));
    CHECK(steady_now() - row.m_last_reported >= std::chrono::milliseconds{600});
    CHECK_FALSE(dispatch::is_reported_directly(row, steady_now()));
    internal::on_load(self, "loader-1", load_of(1'000U, 2U));
    CHECK(row.m_other_requests == doctest::Approx(2.0));
    CHECK(dispatch::is_reported_directly(row, steady_now()));
    internal::on_region_loads(self, "gateway-9", update);
    CHECK(row.m_other_requests == doctest::Approx(2.0));
    told.set_started(2'000U);
    told.set_age_ms(0U);
    internal::on_region_loads(self, "gateway-9", update);
    CHECK(row.m_other_requests == doctest::Approx(2.0));
}

// The store's list of servers, which says nothing of how a version was loaded, took the place of an outdated report.
TEST_CASE("a runner gets requests for a version only once its loader has reported the load as proven") {
    daemon self{settings(), {}};
    auto& runner = add_server(self, "i-1", 1'000U, 5U);
    CHECK_FALSE(is_eligible(runner));
    auto unproven = load_of(1'000U, 0U);
    unproven.mutable_unproven_models()->Swap(unproven.mutable_models());
    internal::on_load(self, "loader-1", unproven);
    CHECK_FALSE(is_eligible(runner));
    internal::on_load(self, "loader-1", load_of(1'000U, 0U));
    CHECK(is_eligible(runner));
    SUBCASE("a loader that was restarted does not know it any more") {
        internal::on_load(self, "loader-1", unproven);
        CHECK(is_eligible(runner));
    }
    SUBCASE("the list of servers takes the place of an outdated report") {
        runner.m_last_reported -= 2 * dispatch::stale_report_age;
        refresh_backend(self, "i-1");
        CHECK(is_eligible(runner));
    }
    SUBCASE("the next incarnation has loaded it anew") {
        auto& next = add_server(self, "i-1", 2'000U, 6U);
        CHECK_FALSE(is_eligible(next));
    }
}

} // namespace rhubarbwharf::gateway
