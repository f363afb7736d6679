#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto engine_options(const std::size_t engines) -> cluster_options {
    cluster_options set{};
    set.m_engine_count = engines;
    set.m_ledger_count = 0;
    return set;
}

/*! @brief Gives an engine an order past its agent, with a fencing number that no ticket has. */
[[nodiscard]] auto load_directly(test_cluster& where, const node& engine, const offered_version& version,
                                 const std::string& path) -> call_result {
    const auto manifest = boost::json::parse(
        where.client().get(where.origin_address(), "/manifests/" + version.m_manifest).m_response.m_body);
    return where.client().post(engine.m_backend_address, "/v1/engine/load",
                               boost::json::serialize(boost::json::object{
                                   {"model", "chef"},
                                   {"manifest", version.m_manifest},
                                   {"content", manifest.as_object().at("content")},
                                   {"source", "http://" + net::to_string(where.origin_address()) + path},
                                   {"ticket", 0},
                                   {"epoch", 0}}));
}

} // namespace

TEST_SUITE("whole_versions") {
    TEST_CASE("chunks changed on their way from the origin") {
        test_cluster where{engine_options(2)};
        where.set_fault(where.origin_address(), R"("kind":"corrupt","count":5,"match":"/weights")");
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        CHECK(where.wait_until_serving(where.versions()[0]));
    }

    TEST_CASE("a version changes under load") {
        test_cluster where{engine_options(3)};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        traffic load{where, {0, 1}, 6, 20};
        REQUIRE(load.wait_for_requests(20));
        REQUIRE(where.submit_ticket(1, where.versions()[1].m_manifest, "second").m_response.m_status == 200);
        CHECK(where.wait_until_serving(where.versions()[1]));
        CHECK(load.wait_for_requests(20));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_truncated == 0);
        CHECK_MESSAGE(seen.m_failed == 0, seen.m_first_failure);
    }

    TEST_CASE("an engine restarted without a version behind its agent's back") {
        test_cluster where{engine_options(2)};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        traffic load{where, {0, 1}, 4, 20};
        REQUIRE(load.wait_for_requests(10));
        where.engines()[0].m_backend_server->send_signal(SIGKILL);
        where.start_backend_server(where.engines()[0]);
        CHECK(where.wait_until_serving(where.versions()[0]));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_truncated == 0);
        CHECK(seen.m_complete > 0);
    }

    TEST_CASE("an engine that ignores fencing is given an older version behind its agent's back") {
        auto set = engine_options(2);
        set.m_ignore_fencing = true;
        test_cluster where{set};
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[0]));
        REQUIRE(where.submit_ticket(0, where.versions()[1].m_manifest, "second").m_response.m_status == 200);
        REQUIRE(where.wait_until_serving(where.versions()[1]));
        const auto loaded = load_directly(where, where.engines()[0], where.versions()[0], "/weights/chef-1").m_response;
        // The agent may see the foreign load and order its own before that one ends.
        const auto overtaken =
            loaded.m_status == 409 && loaded.m_body.find("another load order came") != std::string::npos;
        REQUIRE_MESSAGE((loaded.m_status == 200 || overtaken), loaded.m_body);
        CHECK(where.wait_until_serving(where.versions()[1]));
    }

    TEST_CASE("an agent killed while its engine loads") {
        auto set = engine_options(2);
        test_cluster where{set};
        where.set_fault(where.engines()[0].m_backend_address,
                        R"("kind":"stall","ms":1000,"match":"/v1/engine/load","count":1)");
        REQUIRE(where.submit_ticket(0, where.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(wait_until([&where] {
            const auto state =
                where.client().get(where.engines()[0].m_backend_address, "/v1/engine/state").m_response.m_body;
            return state.find("\"ticket\":0") == std::string::npos;
        }));
        where.engines()[0].m_daemon->send_signal(SIGKILL);
        where.start_daemon(where.engines()[0]);
        CHECK(where.wait_until_serving(where.versions()[0]));
    }
}

} // namespace rhubarbwharf::process
