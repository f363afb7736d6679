#include <csignal>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto engine_options(const std::size_t engines) -> cluster_options {
    cluster_options options{};
    options.m_engine_count = engines;
    options.m_ledger_count = 0;
    return options;
}

/*! @brief Sends a load order to an engine, bypassing its agent, with fencing number 0, which no ticket has. */
[[nodiscard]] auto load_directly(test_cluster& cluster, const node& engine, const offered_version& version,
                                 const std::string& path) -> call_result {
    const auto manifest = boost::json::parse(
        cluster.client().get(cluster.origin_address(), "/manifests/" + version.m_manifest).m_response.m_body);
    return cluster.client().post(engine.m_backend_address, "/v1/engine/load",
                                 boost::json::serialize(boost::json::object{
                                     {"model", "chef"},
                                     {"manifest", version.m_manifest},
                                     {"content", manifest.as_object().at("content")},
                                     {"source", "http://" + net::to_string(cluster.origin_address()) + path},
                                     {"ticket", 0},
                                     {"epoch", 0}}));
}

} // namespace

TEST_SUITE("whole_versions") {
    TEST_CASE("engines load the correct weights when chunks from the origin arrive corrupt") {
        test_cluster cluster{engine_options(2)};
        cluster.set_fault(cluster.origin_address(), R"("kind":"corrupt","count":5,"match":"/weights")");
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        CHECK(cluster.wait_until_serving(cluster.versions()[0]));
    }

    TEST_CASE("no request fails or mixes versions while the version changes under load") {
        test_cluster cluster{engine_options(3)};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        traffic load{cluster, {0, 1}, 6, 20};
        REQUIRE(load.wait_for_requests(20));
        REQUIRE(cluster.submit_ticket(1, cluster.versions()[1].m_manifest, "second").m_response.m_status == 200);
        CHECK(cluster.wait_until_serving(cluster.versions()[1]));
        CHECK(load.wait_for_requests(20));
        const auto totals = load.stop();
        CHECK(totals.m_mixed == 0);
        CHECK(totals.m_truncated == 0);
        CHECK_MESSAGE(totals.m_failed == 0, totals.m_first_failure);
    }

    TEST_CASE("an engine that restarts empty without notice to its agent gets its version again") {
        test_cluster cluster{engine_options(2)};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        traffic load{cluster, {0, 1}, 4, 20};
        REQUIRE(load.wait_for_requests(10));
        cluster.engines()[0].m_backend_server->send_signal(SIGKILL);
        cluster.start_backend_server(cluster.engines()[0]);
        CHECK(cluster.wait_until_serving(cluster.versions()[0]));
        const auto totals = load.stop();
        CHECK(totals.m_mixed == 0);
        CHECK(totals.m_truncated == 0);
        CHECK(totals.m_complete > 0);
    }

    TEST_CASE(
        "an agent restores the version of an engine that ignores fencing after an older one was loaded directly") {
        auto options = engine_options(2);
        options.m_ignore_fencing = true;
        test_cluster cluster{options};
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[0]));
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[1].m_manifest, "second").m_response.m_status == 200);
        REQUIRE(cluster.wait_until_serving(cluster.versions()[1]));
        const auto loaded =
            load_directly(cluster, cluster.engines()[0], cluster.versions()[0], "/weights/chef-1").m_response;
        // The agent may detect the foreign load and send its own load order before the foreign one completes.
        const auto superseded =
            loaded.m_status == 409 && loaded.m_body.find("another load order came") != std::string::npos;
        REQUIRE_MESSAGE((loaded.m_status == 200 || superseded), loaded.m_body);
        CHECK(cluster.wait_until_serving(cluster.versions()[1]));
    }

    TEST_CASE("a version is loaded although an agent is killed while its engine loads it") {
        auto options = engine_options(2);
        test_cluster cluster{options};
        cluster.set_fault(cluster.engines()[0].m_backend_address,
                          R"("kind":"stall","ms":1000,"match":"/v1/engine/load","count":1)");
        REQUIRE(cluster.submit_ticket(0, cluster.versions()[0].m_manifest, "first").m_response.m_status == 200);
        REQUIRE(wait_until([&cluster] {
            const auto state =
                cluster.client().get(cluster.engines()[0].m_backend_address, "/v1/engine/state").m_response.m_body;
            return state.find("\"ticket\":0") == std::string::npos;
        }));
        cluster.engines()[0].m_daemon->send_signal(SIGKILL);
        cluster.start_daemon(cluster.engines()[0]);
        CHECK(cluster.wait_until_serving(cluster.versions()[0]));
    }
}

} // namespace rhubarbwharf::process
