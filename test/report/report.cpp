#include <doctest/doctest.h>

#include <rhubarbwharf/report/plot.hpp>
#include <rhubarbwharf/report/record.hpp>

namespace {

namespace report = rhubarbwharf::report;

constexpr std::string_view json_lines =
    R"({"bench":"a","case":"policy=ours load=0.5","seed":1,"figures":{"p95":1.25,"n":3}}

{"bench":"a","case":"policy=random load=0.5","seed":1,"figures":{"p95":2.5,"n":4}}
{"bench":"b","case":{"size":8},"seed":1,"figures":{"time":{"s":7}}}
)";

} // namespace

TEST_CASE("nested values and key=value cases become fields of the record") {
    const auto records = report::parse(json_lines);
    REQUIRE(records);
    REQUIRE(records->size() == 3U);
    CHECK(report::find(records->at(0), "policy")->m_text == "ours");
    CHECK(report::find(records->at(0), "load")->m_number == 0.5);
    CHECK(report::find(records->at(2), "size")->m_number == 8.0);
    CHECK(report::find(records->at(2), "time.s")->m_number == 7.0);
    CHECK(report::find(records->at(2), "p95") == nullptr);
}

TEST_CASE("the slash-separated segments of a case become numbered fields") {
    const auto records = report::parse(R"({"bench":"a","case":"ours/none/0.8","seed":1,"figures":{}})");
    REQUIRE(records);
    CHECK(report::find(records->at(0), "case.1")->m_text == "ours");
    CHECK(report::find(records->at(0), "case.3")->m_number == 0.8);
}

TEST_CASE("a line that is not a JSON object is rejected") {
    CHECK_FALSE(report::parse("{}\n[1]\n"));
}

TEST_CASE("a table contains only the requested bench and columns") {
    const auto records = report::parse(json_lines);
    REQUIRE(records);
    CHECK(report::format_table(*records, "a", {"policy", "p95"}) ==
          "| policy | p95 |\n|---|---|\n| ours | 1.25 |\n| random | 2.5 |\n");
    CHECK(report::format_table(*records, "none", {}).empty());
}

TEST_CASE("a plot has a legend entry for each series") {
    const auto records = report::parse(json_lines);
    REQUIRE(records);
    const auto svg = report::draw_plot(
        *records, {.m_bench = "a", .m_x_field = "load", .m_y_field = "p95", .m_series_field = "policy"});
    CHECK(svg.find(">ours</text>") != std::string::npos);
    CHECK(svg.find(">random</text>") != std::string::npos);
    CHECK(svg.ends_with("</svg>\n"));
}
