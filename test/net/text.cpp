#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/metrics.hpp>

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

TEST_CASE("endpoints are read and written alike") {
    const auto plain = parse_endpoint("127.0.0.1:80");
    REQUIRE(plain);
    CHECK(*plain == endpoint{"127.0.0.1", 80U});
    CHECK(to_string(*plain) == "127.0.0.1:80");
    const auto bracketed = parse_endpoint("[::1]:8080");
    REQUIRE(bracketed);
    CHECK(to_string(*bracketed) == "[::1]:8080");
    for (const auto* const bad : {"", ":", "1.2.3.4", "1.2.3.4:", "1.2.3.4:65536", "::1:80", "[1.2.3.4]:80", "host:80",
                                  "1.2.3.4:8 0", "1.2.3.4:-1"}) {
        CHECK_FALSE(parse_endpoint(bad));
    }
    CHECK(rc::check([](const std::string& text) { static_cast<void>(parse_endpoint(text)); }));
}

TEST_CASE("header fields are found in any case") {
    const std::vector<header> fields{{"Content-Type", "a"}, {"content-type", "b"}};
    CHECK(find(fields, "CONTENT-TYPE") == "a");
    CHECK(find(fields, "Content").empty());
}

TEST_CASE("a refusal carries its code, its outcome and a time to come back") {
    const auto refusal =
        problem(code::over_share, outcome::not_run, "say \"please\"\n", std::chrono::milliseconds{1'001});
    CHECK(refusal.m_status == 429U);
    CHECK(find(refusal.m_headers, "content-type") == "application/problem+json");
    CHECK(find(refusal.m_headers, "retry-after") == "2");
    CHECK(refusal.m_body.find(R"("code":201,"name":"over_share","outcome":"not_run")") != std::string::npos);
    CHECK(refusal.m_body.find(R"("detail":"say \"please\"\n")") != std::string::npos);
    const auto plain = problem(code::cut_stream, outcome::unknown, {}, duration::zero());
    CHECK(find(plain.m_headers, "retry-after").empty());
    CHECK(plain.m_body.find("detail") == std::string::npos);
}

TEST_CASE("control characters are escaped in JSON") {
    CHECK(json_string("a\x01\\\t") == R"("a\u0001\\\t")");
}

TEST_CASE("counters are added up by name and label, and written as text") {
    counters table{};
    table.add("requests");
    table.add("requests", 2.0, "refused");
    table.set("open", 4.0);
    table.observe("wait_seconds", std::chrono::milliseconds{3});
    CHECK(table.value("requests") == 1.0);
    CHECK(table.value("requests", "refused") == 2.0);
    CHECK(table.value("absent") == 0.0);
    const auto text = table.text();
    CHECK(text.find("rhubarbwharf_requests{kind=\"refused\"} 2") != std::string::npos);
    CHECK(text.find("rhubarbwharf_open 4") != std::string::npos);
    CHECK(text.find("rhubarbwharf_wait_seconds_count 1") != std::string::npos);
}
