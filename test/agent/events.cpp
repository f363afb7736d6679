#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/engine.hpp>
#include <agent/events.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr std::string_view mark = "0123456789abcdef";

[[nodiscard]] auto event(const std::string_view fingerprint, const int index) -> std::string {
    return R"(data: {"system_fingerprint": ")" + std::string{fingerprint} + R"(","choices":[{"delta":{"content":"t)" +
           std::to_string(index) + "\"}}]}\n\n";
}

[[nodiscard]] auto scanner_of(const bool stream) -> event_scanner {
    event_scanner scanner{};
    scanner.m_is_stream = stream;
    scanner.m_expected_fingerprint = mark;
    return scanner;
}

} // namespace

TEST_CASE("events come out whole and counted however the bytes are cut") {
    rc::check("cuts", [] {
        std::string whole{};
        for (int index = 0; index < 5; ++index) {
            whole += event(mark, index);
        }
        whole += "data: [DONE]\n\n";
        auto scanner = scanner_of(true);
        std::string out{};
        std::uint32_t tokens{};
        for (std::size_t at = 0; at < whole.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 60);
            const auto batch = scan(scanner, std::string_view{whole}.substr(at, size));
            RC_ASSERT(batch.m_bytes.empty() || batch.m_bytes.ends_with("\n\n"));
            out += batch.m_bytes;
            tokens += batch.m_tokens;
            at += size;
        }
        RC_ASSERT(out == whole);
        RC_ASSERT(tokens == 5U);
        RC_ASSERT(scanner.m_is_done);
        RC_ASSERT(scanner.m_matching_fingerprints == 5U);
    });
}

TEST_CASE("from an event of another version on nothing comes out") {
    auto scanner = scanner_of(true);
    const auto first = scan(scanner, event(mark, 0) + event("ffffffffffffffff", 1) + event(mark, 2));
    CHECK(first.m_tokens == 1);
    CHECK(first.m_bytes == event(mark, 0));
    CHECK(scanner.m_has_other_version);
    CHECK(scan(scanner, event(mark, 3)).m_bytes.empty());
}

TEST_CASE("an answer that is no stream is held back and checked whole") {
    auto good = scanner_of(false);
    const std::string body = R"({"system_fingerprint":"0123456789abcdef","choices":[]})";
    CHECK(scan(good, body).m_bytes.empty());
    CHECK(finish(good).m_bytes == body);
    auto bad = scanner_of(false);
    static_cast<void>(scan(bad, R"({"system_fingerprint":"fedcba9876543210"})"));
    CHECK(finish(bad).m_bytes.empty());
    CHECK(bad.m_has_other_version);
}

TEST_CASE("engine states are read, and bad ones refused") {
    const auto state = parse_engine_state(
        R"({"model":"chef","manifest":"","content":"","running":2,"fencing":{"ticket":7,"epoch":3},"crashes":1,)"
        R"("cached_prefixes":["00000000000000ff"]})");
    REQUIRE(state);
    CHECK(state->m_order == order_number{ticket_number{7}, 3});
    CHECK(state->m_cached_prefixes.front() == 255);
    CHECK_FALSE(parse_engine_state("[]"));
    CHECK_FALSE(parse_engine_state("{\"model\":"));
}

} // namespace rhubarbwharf::agent
