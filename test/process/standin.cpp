#include <fstream>
#include <sstream>

#include <boost/json.hpp>
#include <doctest/doctest.h>

#include <rhubarbwharf-standin/tokens.hpp>
#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "site.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto string_member(const call_result& result, const std::string_view name) -> std::string {
    const auto body = boost::json::parse(result.m_response.m_body).as_object();
    return std::string{body.at(name).as_string()};
}

[[nodiscard]] auto make_load_order(const std::string& manifest, const std::string& content, const std::string& source,
                                   const int ticket) -> std::string {
    return boost::json::serialize(boost::json::object{{"model", "chef"},
                                                      {"manifest", manifest},
                                                      {"content", content},
                                                      {"source", source},
                                                      {"ticket", ticket},
                                                      {"epoch", 1}});
}

/*! @brief Stand-in origin and stand-in engine without daemons. */
struct engine_fixture {
    temporary_directory m_directory{};
    threaded_http_client m_client{};
    child_process m_origin{program_path("rhubarbwharf-standin"),
                           {"--role", "origin", "--versions", "chef:1:600000"},
                           m_directory.path("origin")};
    child_process m_engine{program_path("rhubarbwharf-standin"), {"--role", "engine"}, m_directory.path("engine")};
    net::endpoint m_origin_address{m_origin.wait_for_address()};
    net::endpoint m_engine_address{m_engine.wait_for_address()};
    std::string m_manifest{};
    std::string m_content{};
    std::string m_weights_url{"http://" + net::to_string(m_origin_address) + "/weights/chef-1"};

    engine_fixture() {
        m_manifest = string_member(m_client.get(m_origin_address, "/labels/chef"), "manifest");
        m_content = string_member(m_client.get(m_origin_address, "/manifests/" + m_manifest), "content");
    }

    [[nodiscard]] auto load(const int ticket) -> call_result {
        return m_client.post(m_engine_address, "/v1/engine/load",
                             make_load_order(m_manifest, m_content, m_weights_url, ticket));
    }

    [[nodiscard]] auto generate(const std::string_view prompt) -> call_result {
        return m_client.post(m_engine_address, "/v1/chat/completions",
                             R"({"model":"chef","stream":true,"max_tokens":12,"messages":[{"content":")" +
                                 std::string{prompt} + R"("}]})");
    }
};

} // namespace

TEST_SUITE("standin") {
    TEST_CASE("an engine serves the content it has loaded, states its fingerprint, and refuses an older ticket") {
        engine_fixture fixture{};
        CHECK(fixture.generate("p").m_response.m_status == 503);
        REQUIRE(fixture.load(2).m_response.m_status == 200);
        const auto check = check_completion(fixture.generate("p"), "p", 12);
        CHECK(check.m_complete);
        CHECK(check.m_fingerprint == fixture.m_content.substr(0, standin::fingerprint_digits));
        CHECK_FALSE(check_completion(fixture.generate("p"), "another prompt", 12).m_complete);
        CHECK(fixture.load(1).m_response.m_status == 409);
    }

    TEST_CASE("content with one changed byte is refused and leaves an engine empty") {
        engine_fixture fixture{};
        fixture.m_client.post(fixture.m_origin_address, "/fault", R"({"kind":"corrupt","count":1,"match":"/weights"})");
        CHECK(fixture.load(1).m_response.m_status == 422);
        CHECK(fixture.generate("p").m_response.m_status == 503);
        CHECK(fixture.load(1).m_response.m_status == 200);
    }

    TEST_CASE("a cut answer is reported as cut") {
        engine_fixture fixture{};
        REQUIRE(fixture.load(1).m_response.m_status == 200);
        fixture.m_client.post(fixture.m_engine_address, "/fault", R"({"kind":"cut","count":1})");
        const auto cut = fixture.generate("p");
        CHECK(cut.m_end.m_code == code::cut_stream);
        CHECK_FALSE(check_completion(cut, "p", 12).m_reported_complete);
        CHECK(check_completion(fixture.generate("p"), "p", 12).m_complete);
    }

    TEST_CASE("the example settings files are valid") {
        const std::string examples_directory{RHUBARBWHARF_SOURCE_DIR "/config/"};
        for (const auto* name : {"kalkulhof/entry", "kalkulhof/agent-engine", "kalkulhof/agent-ledger",
                                 "piedmont/entry", "piedmont/agent-engine", "piedmont/agent-plant-control"}) {
            const auto read = config::load(examples_directory + name + ".json");
            const auto* faults = std::get_if<std::vector<config::fault>>(&read);
            CHECK_MESSAGE(faults == nullptr, (faults == nullptr ? "" : config::to_string(faults->front())));
        }
    }
}

} // namespace rhubarbwharf::process
