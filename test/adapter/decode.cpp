#include <doctest/doctest.h>
#include <limits>

#include <platform/decode.hpp>
#include <platform/encode.hpp>

namespace rhubarbwharf::adapter {

namespace {

constexpr std::string_view configuration_text = R"({"version":7,"routes":[
 {"name":"r1","hostname":"a.example","prefix":"/p/","kind":"streaming","timeout-ms":6000,"target-latency-ms":400,
  "priority":1,"service":"llm","max-attempts":2,"public":false,"sticky":true,"resumable":true,"gap-aim-ms":300},
 {"name":"r2","hostname":"a.example","prefix":"/q/","kind":"streaming","service":"llm"},
 {"name":"r3","hostname":"b.example","prefix":"/","kind":"non_idempotent","max-attempts":1,
  "traffic-split":[{"service":"x","weight":90},{"service":"y","weight":10}]},
 {"name":"broken","prefix":5}],
 "services":[{"name":"llm","health-path":"/h","max-connections":374,"engine":{"slots":16,"stride":5,"step_ms":8.87,
  "per_seq_ms":0.04,"read_per_s":19100.0,"layers":16,"chunks":48,"chunk-bytes":49152,"usual":{"prompt":977,"answer":94},
  "models":[{"name":"m"}]}},{"name":"o","origin":"10.0.0.1:80","max-connections":48}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":1000,"header-timeout-ms":3000,"idle-timeout-ms":15000},
 "tenants":[{"name":"t1","api-keys":["k1","k2"],"priority":0},{"name":"t2","api-keys":["k3"]}]})";

} // namespace

TEST_CASE("a configuration is decoded completely, and malformed rows are skipped") {
    const auto decoded = decode_configuration(configuration_text);
    REQUIRE(decoded);
    CHECK(decoded->m_version == 7U);
    REQUIRE(decoded->m_routes.size() == 3U);
    CHECK(decoded->m_routes[0].m_idempotency == fleet::idempotency::idempotent);
    CHECK(decoded->m_routes[1].m_idempotency == fleet::idempotency::non_idempotent);
    CHECK(decoded->m_routes[2].m_idempotency == fleet::idempotency::non_idempotent);
    CHECK(decoded->m_routes[2].m_shares.size() == 2U);
    CHECK(decoded->m_routes[0].m_max_event_gap == std::chrono::milliseconds{300});
    REQUIRE(decoded->m_services[0].m_engine);
    CHECK(decoded->m_services[0].m_engine->m_prefill_tokens_per_ms == doctest::Approx(19.1));
    CHECK(decoded->m_services[0].m_engine->m_models == std::vector<std::string>{"m"});
    CHECK(fleet::find_origin(*decoded)->m_address.m_port == 80U);
    CHECK(decoded->m_limits.m_body_bytes == 1'000U);
    CHECK(fleet::find_key_owner(*decoded, "k2")->m_name == "t1");
    CHECK(fleet::find_key_owner(*decoded, "k2")->m_priority == 0U);
    CHECK_FALSE(fleet::find_key_owner(*decoded, "k3")->m_priority);
    CHECK(fleet::find_key_owner(*decoded, "k4") == nullptr);
    CHECK(decoded->m_requires_key);
    CHECK_FALSE(decode_configuration("{}"));
    CHECK_FALSE(decode_configuration("\xff\x00"));
}

TEST_CASE("allowed regions restrict a route and an organisation, and a list that cannot be read allows none") {
    const auto decode = [](const std::string& regions) {
        const auto decoded = decode_configuration(
            R"({"version":1,"routes":[{"hostname":"a","prefix":"/","kind":"idempotent","allowed-regions":)" + regions +
            R"(}],"services":[],"tenants":[{"name":"t","api-keys":["k"],"allowed-regions":)" + regions + "}]}");
        REQUIRE(decoded);
        CHECK(decoded->m_routes.at(0).m_allowed_regions == decoded->m_organisations.at(0).m_allowed_regions);
        return decoded->m_routes.at(0).m_allowed_regions;
    };
    CHECK(decode("[]") == fleet::allowed_regions{});
    CHECK(decode("null") == fleet::allowed_regions{});
    CHECK(decode(R"(["west","ost","west"])") == fleet::restrict_to({"ost", "west"}));
    CHECK(decode(R"(["west",5])") == fleet::restrict_to({"west"}));
    CHECK(decode("[5]") == fleet::restrict_to({}));
    CHECK(decode(R"("west")") == fleet::restrict_to({}));
}

TEST_CASE("what cold servers take is read from the service, and nothing is limited without it") {
    const auto decode = [](const std::string& members) {
        const auto decoded =
            decode_configuration(R"({"version":1,"routes":[],"services":[{"name":"s")" + members + "}]}");
        REQUIRE(decoded);
        return decoded->m_services.at(0).m_warm_up;
    };
    CHECK(decode(R"(,"cold-s":3.5,"cold-per-s":26.0)").m_time == std::chrono::milliseconds{3'500});
    CHECK(decode(R"(,"cold-s":3.5,"cold-per-s":26.0)").m_per_s == 26.0);
    CHECK(decode("").m_per_s == 0.0);
    CHECK(decode(R"(,"cold-s":-1,"cold-per-s":-5)").m_per_s == 0.0);
    CHECK(decode(R"(,"cold-s":1e300)").m_time == std::chrono::minutes{10});
}

TEST_CASE("entries that do not describe a backend server are ignored") {
    const std::string good = R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"ready","born":12,)"
                             R"("models":[{"name":"m","version":3}],"layers":{"from":0,"to":16,"version":3}})";
    const auto decoded = decode_server("i", good, {1U, 9U});
    REQUIRE(decoded);
    CHECK(decoded->m_started_ms == 12U);
    CHECK(decoded->m_models == std::vector<fleet::held_model>{{"m", 3U, 16U}});
    for (const auto* const bad : {"", "[]", "{", R"({"service":"s"})",
                                  R"({"service":"s","address":"nowhere","zone":"z","slots":4,"state":"ready"})",
                                  R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":"4","state":"ready"})",
                                  R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"asleep"})"}) {
        CHECK_FALSE(decode_server("i", bad, {1U, 9U}));
    }
    CHECK(decode_server("i", R"({"service":"s","address":"10.0.0.9:80","zone":"z","slots":4,"state":"draining"})",
                        {1U, 1U})
              ->m_draining);
}

// Another writer's numbers were cut to the width of their fields: an entry with 2^32 slots was used as one with none,
// and a cold time overflowed. Ids become part of a header.
TEST_CASE("entries of another writer with odd values name no backend server") {
    const auto entry = [](const std::string& fields) {
        return R"({"service":"s","address":"10.0.0.9:80","zone":"z","state":"ready",)" + fields + "}";
    };
    const std::string nesting(100'000U, '[');
    REQUIRE(decode_server("i", entry(R"("slots":4)"), {1U, 9U}));
    for (const auto& bad :
         {entry(R"("slots":4294967296)"), entry(R"("slots":18446744073709551615)"), entry(R"("slots":1e400)"),
          entry(R"("slots":-4)"), entry(R"("slots":4,"cold-remaining-ms":18446744073709551615)"),
          entry(R"("slots":4,"cold-remaining-ms":99999999999999999999)"),
          entry(R"("slots":4,"born":99999999999999999999)"), entry(R"("slots":4,"born":"12")"),
          entry(R"("slots":4,"models":)" + nesting), nesting, entry(R"("slots":4,"note":")" + nesting + '"'),
          std::string{R"({"service":"s","address":"10.0.0.9:0","zone":"z","slots":4,"state":"ready"})"},
          std::string{R"({"service":"s","address":"10.0.0.9:65536","zone":"z","slots":4,"state":"ready"})"},
          std::string{R"({"service":"s","address":"10.0.0.9:-1","zone":"z","slots":4,"state":"ready"})"}}) {
        CHECK_FALSE(decode_server("i", bad, {1U, 9U}));
    }
    CHECK_FALSE(decode_server("i\r\nA: b", entry(R"("slots":4)"), {1U, 9U}));
    CHECK_FALSE(decode_server("i", R"({"service":"s","address":"10.0.0.9:80","zone":"z\n","slots":4,"state":"ready"})",
                              {1U, 9U}));
}

TEST_CASE("numbers of a load report that are too large are bounded, and a pace is positive") {
    const auto report =
        decode_load_report(R"({"sequence":1,"waiting":4294967296,"running":18446744073709551615,"pace":-1.0})");
    REQUIRE(report);
    CHECK(report->m_waiting_requests == std::numeric_limits<unsigned>::max());
    CHECK(report->m_running_requests == std::numeric_limits<unsigned>::max());
    CHECK(report->m_slowdown == 1.0);
}

TEST_CASE("only layers without a gap from the first one on are counted") {
    const auto decoded =
        decode_load_report(R"({"sequence":2,"models":[{"name":"m","version":3}],)"
                           R"("layers":[{"from":0,"to":4,"version":3},{"from":8,"to":16,"version":3}]})");
    REQUIRE(decoded);
    CHECK(decoded->m_models[0].m_layers == 4U);
    CHECK(decode_load_report(R"({"models":[]})") == std::nullopt);
}

TEST_CASE("headers and small bodies are decoded, and malformed parts are ignored") {
    CHECK(decode_token_counts("1460,80").m_prompt_tokens == doctest::Approx(1'460.0));
    CHECK(decode_token_counts("1460,80").m_output_tokens == doctest::Approx(80.0));
    CHECK(decode_token_counts("").m_prompt_tokens == doctest::Approx(0.0));
    CHECK(decode_token_counts("x").m_output_tokens == doctest::Approx(0.0));
    CHECK(query_value("/p?a=1&bc=2&c", "bc") == "2");
    CHECK(query_value("/p?a=1&bc=2&c", "c").empty());
    CHECK(query_value("/p", "a").empty());
    CHECK(decode_staged_pieces(R"({"held":[0,3,"x",7]})") == std::vector<std::size_t>{0U, 3U, 7U});
    CHECK_FALSE(decode_manifest(R"({"version":2,"digests":["zz"]})"));
    CHECK_FALSE(decode_weights_target(R"({"model":"m","version":0})"));
    CHECK(decode_weights_target(R"({"model":"m","version":4})")->m_version == 4U);
}

TEST_CASE("a requested pause is read strictly and is bounded") {
    CHECK(decode_retry_after("2") == duration{std::chrono::seconds{2}});
    CHECK(decode_retry_after("0.25") == duration{std::chrono::milliseconds{250}});
    CHECK(decode_retry_after("0") == duration::zero());
    CHECK(decode_retry_after("1000000000000") == max_requested_pause);
    for (const auto* const text :
         {"", "-1", "+1", " 1", "1 ", "1s", "1e3", "nan", "inf", "0x1", "1,5", "Fri, 04 Dec 2026 09:00:00 GMT"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_retry_after(text));
    }
}

TEST_CASE("a server's limit is read strictly") {
    CHECK(decode_server_limit("1.4") == 1.4);
    CHECK(decode_server_limit("0") == 0.0);
    CHECK(decode_server_limit("0.001") == 0.001);
    CHECK(decode_server_limit("1000000000000") == 1e12);
    for (const auto* const text :
         {"", "-1", "+1", " 1", "1 ", "1/s", "1e3", "nan", "inf", "infinity", "0x1", "1,5", "."}) {
        CAPTURE(text);
        CHECK_FALSE(decode_server_limit(text));
    }
}

TEST_CASE("only the value 1 of its header says that a server is leaving") {
    CHECK(says_leaving({{"server-leaving", "1"}}));
    CHECK_FALSE(says_leaving({{"Server-Leaving", "0"}}));
    CHECK_FALSE(says_leaving({{"Server-Leaving", ""}}));
    CHECK_FALSE(says_leaving({}));
}

TEST_CASE("gateway addresses are encoded as one flat list") {
    const std::vector<net::endpoint> rows{{"10.0.0.1", 80U}, {"10.0.0.2", 81U}};
    CHECK(encode_addresses(rows, std::chrono::seconds{2}).m_body ==
          R"({"addresses":["10.0.0.1:80","10.0.0.2:81"],"ttl-s":2})");
}

TEST_CASE("a member's store entry is decoded to the encoded values") {
    fleet::member self{};
    self.m_instance = "edge-1";
    self.m_region = "ost";
    self.m_data_centre = "ost-a";
    self.m_incarnation = 77U;
    self.m_caller_address = {"10.0.0.1", 80U};
    self.m_bus_address = {"10.0.0.1", 7'700U};
    const auto decoded = decode_member(encode_member(self));
    REQUIRE(decoded);
    CHECK(decoded->m_instance == "edge-1");
    CHECK(decoded->m_incarnation == 77U);
    CHECK(decoded->m_bus_address == self.m_bus_address);
    CHECK(decoded->m_bulk_address.m_port == 0U);
    CHECK_FALSE(decode_member("{}"));
}

TEST_CASE("the parts of a prompt are read in order, whatever their counts") {
    using parts = std::vector<std::string_view>;
    CHECK(decode_prompt_parts("5c1e07a2:800,91bd3f06:410, e4402b7d:250") == parts{"5c1e07a2", "91bd3f06", "e4402b7d"});
    CHECK(decode_prompt_parts("5c1e07a2") == parts{"5c1e07a2"});
    CHECK(decode_prompt_parts("").empty());
    CHECK(decode_prompt_parts(",:3, ,a:,b:x:y") == parts{"a", "b"});
    std::string many{};
    for (auto index = 0; index < 200; ++index) {
        many += std::to_string(index) + ":1,";
    }
    CHECK(decode_prompt_parts(many).size() == max_prompt_parts);
}

} // namespace rhubarbwharf::adapter
