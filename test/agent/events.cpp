#include <string>

#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <agent/engine.hpp>
#include <agent/events.hpp>

namespace rhubarbwharf::agent {

namespace {

constexpr std::string_view expected_fingerprint = "0123456789abcdef";

[[nodiscard]] auto event(const std::string_view fingerprint, const int index) -> std::string {
    return R"(data: {"system_fingerprint": ")" + std::string{fingerprint} + R"(","choices":[{"delta":{"content":"t)" +
           std::to_string(index) + "\"}}]}\n\n";
}

[[nodiscard]] auto make_scanner(const bool is_stream) -> event_scanner {
    event_scanner scanner{};
    scanner.m_is_stream = is_stream;
    scanner.m_expected_fingerprint = expected_fingerprint;
    return scanner;
}

} // namespace

TEST_CASE("a stream is split into complete events and its tokens are counted, wherever the bytes are cut") {
    CHECK(rc::check("cuts", [] {
        std::string stream{};
        for (int index = 0; index < 5; ++index) {
            stream += event(expected_fingerprint, index);
        }
        stream += "data: [DONE]\n\n";
        auto scanner = make_scanner(true);
        std::string out{};
        std::uint32_t tokens{};
        for (std::size_t position = 0; position < stream.size();) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 60);
            const auto batch = scan(scanner, std::string_view{stream}.substr(position, size));
            RC_ASSERT(batch.m_bytes.empty() || batch.m_bytes.ends_with("\n\n"));
            out += batch.m_bytes;
            tokens += batch.m_tokens;
            position += size;
        }
        RC_ASSERT(out == stream);
        RC_ASSERT(tokens == 5U);
        RC_ASSERT(scanner.m_is_done);
        RC_ASSERT(scanner.m_matching_fingerprints == 5U);
    }));
}

TEST_CASE("neither an event of another version nor any later event is returned") {
    auto scanner = make_scanner(true);
    const auto first =
        scan(scanner, event(expected_fingerprint, 0) + event("ffffffffffffffff", 1) + event(expected_fingerprint, 2));
    CHECK(first.m_tokens == 1);
    CHECK(first.m_bytes == event(expected_fingerprint, 0));
    CHECK(scanner.m_has_other_version);
    CHECK(scan(scanner, event(expected_fingerprint, 3)).m_bytes.empty());
}

TEST_CASE("an answer that is not a stream is buffered and checked as a whole") {
    auto matching = make_scanner(false);
    const std::string body = R"({"system_fingerprint":"0123456789abcdef","choices":[]})";
    CHECK(scan(matching, body).m_bytes.empty());
    CHECK(finish(matching).m_bytes == body);
    auto mismatching = make_scanner(false);
    static_cast<void>(scan(mismatching, R"({"system_fingerprint":"fedcba9876543210"})"));
    CHECK(finish(mismatching).m_bytes.empty());
    CHECK(mismatching.m_has_other_version);
}

TEST_CASE("engine states are parsed, and malformed ones are rejected") {
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
