#include <doctest/doctest.h>

#include "traffic.hpp"

namespace rhubarbwharf::process {

namespace {

[[nodiscard]] auto serving_site() -> std::unique_ptr<site> {
    site_options set{};
    set.m_ledgers = 0;
    auto where = std::make_unique<site>(set);
    REQUIRE(where->submit(0, where->versions()[0].m_manifest, "first").m_response.m_status == 200);
    REQUIRE(where->wait_serving(where->versions()[0]));
    return where;
}

} // namespace

TEST_SUITE("own_answer") {
    TEST_CASE("many callers at once each get their own whole answer") {
        const auto where = serving_site();
        std::vector<std::future<answer>> sent{};
        for (std::size_t index = 0; index < 40; ++index) {
            sent.push_back(where->generate(index % 2U, "question " + std::to_string(index), 30));
        }
        for (std::size_t index = 0; index < sent.size(); ++index) {
            const auto got = sent[index].get();
            const auto made = read_generated(got, "question " + std::to_string(index), 30);
            CHECK_FALSE(made.m_mixed);
            CHECK_MESSAGE(made.m_whole, got.m_response.m_body);
        }
    }

    TEST_CASE("streams cut between agent and engine") {
        const auto where = serving_site();
        for (const auto& engine : where->engines()) {
            where->set_fault(engine.m_backend, R"("kind":"cut","count":5,"match":"/v1/chat")");
        }
        traffic load{*where, {0, 1}, 4, 20};
        REQUIRE(load.wait_for(40));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_short == 0);
        CHECK(seen.m_whole >= 30);
    }

    TEST_CASE("a stream cut at every try is not shown as complete") {
        const auto where = serving_site();
        for (const auto& engine : where->engines()) {
            where->set_fault(engine.m_backend, R"("kind":"cut","match":"/v1/chat")");
        }
        const auto got = where->generate(0, "question", 40).get();
        CHECK_FALSE(read_generated(got, "question", 40).m_shown_complete);
    }

    TEST_CASE("answers that come late") {
        const auto where = serving_site();
        where->set_fault(where->engines()[0].m_backend, R"("kind":"stall","count":6,"ms":1500,"match":"/v1/chat")");
        traffic load{*where, {0, 1}, 6, 10};
        REQUIRE(load.wait_for(60));
        const auto seen = load.stop();
        CHECK(seen.m_mixed == 0);
        CHECK(seen.m_short == 0);
    }
}

} // namespace rhubarbwharf::process
