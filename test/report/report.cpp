#include <doctest/doctest.h>

#include <rhubarbwharf/report/plot.hpp>
#include <rhubarbwharf/report/record.hpp>

namespace {

namespace report = rhubarbwharf::report;

constexpr std::string_view lines = R"({"bench":"a","case":"policy=ours load=0.5","seed":1,"figures":{"p95":1.25,"n":3}}

{"bench":"a","case":"policy=random load=0.5","seed":1,"figures":{"p95":2.5,"n":4}}
{"bench":"b","case":{"size":8},"seed":1,"figures":{"time":{"s":7}}}
)";

} // namespace

TEST_CASE("lines become flat records, and a case its keys") {
    const auto rows = report::parse(lines);
    REQUIRE(rows);
    REQUIRE(rows->size() == 3U);
    CHECK(report::find(rows->at(0), "policy")->m_text == "ours");
    CHECK(report::find(rows->at(0), "load")->m_number == 0.5);
    CHECK(report::find(rows->at(2), "size")->m_number == 8.0);
    CHECK(report::find(rows->at(2), "time.s")->m_number == 7.0);
    CHECK(report::find(rows->at(2), "p95") == nullptr);
}

TEST_CASE("the parts of a case between slashes are fields") {
    const auto rows = report::parse(R"({"bench":"a","case":"ours/none/0.8","seed":1,"figures":{}})");
    REQUIRE(rows);
    CHECK(report::find(rows->at(0), "case.1")->m_text == "ours");
    CHECK(report::find(rows->at(0), "case.3")->m_number == 0.8);
}

TEST_CASE("a line that is no object is refused") {
    CHECK_FALSE(report::parse("{}\n[1]\n"));
}

TEST_CASE("a table holds one bench and the columns asked for") {
    const auto rows = report::parse(lines);
    REQUIRE(rows);
    CHECK(report::table(*rows, "a", {"policy", "p95"}) ==
          "| policy | p95 |\n|---|---|\n| ours | 1.25 |\n| random | 2.5 |\n");
    CHECK(report::table(*rows, "none", {}).empty());
}

TEST_CASE("a plot has a line for each series") {
    const auto rows = report::parse(lines);
    REQUIRE(rows);
    const auto page = report::draw(*rows, {.m_bench = "a", .m_x = "load", .m_y = "p95", .m_series = "policy"});
    CHECK(page.find(">ours</text>") != std::string::npos);
    CHECK(page.find(">random</text>") != std::string::npos);
    CHECK(page.ends_with("</svg>\n"));
}
