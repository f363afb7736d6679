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

[[nodiscard]] auto member(const answer& got, const std::string_view name) -> std::string {
    const auto body = boost::json::parse(got.m_response.m_body).as_object();
    return std::string{body.at(name).as_string()};
}

[[nodiscard]] auto load_order(const std::string& manifest, const std::string& content, const std::string& source,
                              const int ticket) -> std::string {
    return boost::json::serialize(boost::json::object{{"model", "chef"},
                                                      {"manifest", manifest},
                                                      {"content", content},
                                                      {"source", source},
                                                      {"ticket", ticket},
                                                      {"epoch", 1}});
}

/*! @brief An origin and an engine by themselves. */
struct bench {
    folder m_folder{};
    caller m_http{};
    child m_origin{program_path("rhubarbwharf-standin"),
                   {"--role", "origin", "--versions", "chef:1:600000"},
                   m_folder.path("origin")};
    child m_engine{program_path("rhubarbwharf-standin"), {"--role", "engine"}, m_folder.path("engine")};
    net::endpoint m_origin_at{m_origin.where()};
    net::endpoint m_engine_at{m_engine.where()};
    std::string m_manifest{};
    std::string m_content{};
    std::string m_source{"http://" + net::to_string(m_origin_at) + "/weights/chef-1"};

    bench() {
        m_manifest = member(m_http.get(m_origin_at, "/labels/chef"), "manifest");
        m_content = member(m_http.get(m_origin_at, "/manifests/" + m_manifest), "content");
    }

    [[nodiscard]] auto load(const int ticket) -> answer {
        return m_http.post(m_engine_at, "/v1/engine/load", load_order(m_manifest, m_content, m_source, ticket));
    }

    [[nodiscard]] auto generate(const std::string_view prompt) -> answer {
        return m_http.post(m_engine_at, "/v1/chat/completions",
                           R"({"model":"chef","stream":true,"max_tokens":12,"messages":[{"content":")" +
                               std::string{prompt} + R"("}]})");
    }
};

} // namespace

TEST_SUITE("standin") {
    TEST_CASE("an engine holds what it has read, and says so in its answers") {
        bench set{};
        CHECK(set.generate("p").m_response.m_status == 503);
        REQUIRE(set.load(2).m_response.m_status == 200);
        const auto made = read_generated(set.generate("p"), "p", 12);
        CHECK(made.m_whole);
        CHECK(made.m_fingerprint == set.m_content.substr(0, standin::fingerprint_digits));
        CHECK_FALSE(read_generated(set.generate("p"), "another prompt", 12).m_whole);
        CHECK(set.load(1).m_response.m_status == 409);
    }

    TEST_CASE("a content with one changed byte leaves an engine empty") {
        bench set{};
        set.m_http.post(set.m_origin_at, "/fault", R"({"kind":"corrupt","count":1,"match":"/weights"})");
        CHECK(set.load(1).m_response.m_status == 422);
        CHECK(set.generate("p").m_response.m_status == 503);
        CHECK(set.load(1).m_response.m_status == 200);
    }

    TEST_CASE("a cut answer is seen as cut") {
        bench set{};
        REQUIRE(set.load(1).m_response.m_status == 200);
        set.m_http.post(set.m_engine_at, "/fault", R"({"kind":"cut","count":1})");
        const auto cut = set.generate("p");
        CHECK(cut.m_end.m_code == code::cut_stream);
        CHECK_FALSE(read_generated(cut, "p", 12).m_shown_complete);
        CHECK(read_generated(set.generate("p"), "p", 12).m_whole);
    }

    TEST_CASE("the settings files of the examples are right") {
        const std::string folder_of_examples{RHUBARBWHARF_SOURCE_DIR "/config/"};
        for (const auto* name : {"kalkulhof/entry", "kalkulhof/agent-engine", "kalkulhof/agent-ledger",
                                 "piedmont/entry", "piedmont/agent-engine", "piedmont/agent-plant-control"}) {
            const auto read = config::load(folder_of_examples + name + ".json");
            const auto* faults = std::get_if<std::vector<config::fault>>(&read);
            CHECK_MESSAGE(faults == nullptr, (faults == nullptr ? "" : config::to_string(faults->front())));
        }
    }
}

} // namespace rhubarbwharf::process
