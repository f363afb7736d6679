#include <string>

#include <doctest/doctest.h>

#include <loader/transfer.hpp>

namespace rhubarbwharf::loader::internal {

namespace {

[[nodiscard]] auto judge(const code end, const std::uint16_t status, const std::string& body) -> read_result {
    const auto expected = sha256("piece");
    return judge_read({end, net::sent::some}, {status, {}, body}, &expected);
}

} // namespace

TEST_CASE("a staged piece is intact only if it was read whole and has its digest") {
    CHECK(judge(code::ok, 200U, "piece") == read_result::intact);
    CHECK(judge(code::ok, 200U, "other") == read_result::corrupt);
    CHECK(judge(code::ok, 404U, {}) == read_result::corrupt);
    CHECK(judge_read({}, {200U, {}, "piece"}, nullptr) == read_result::corrupt);
}

TEST_CASE("a staged piece whose read was not answered is not corrupt") {
    CHECK(judge(code::timed_out, 0U, {}) == read_result::unanswered);
    CHECK(judge(code::connection_failed, 0U, {}) == read_result::unanswered);
    CHECK(judge(code::cut_stream, 200U, "pie") == read_result::unanswered);
    CHECK(judge(code::ok, 503U, {}) == read_result::unanswered);
    CHECK(judge(code::ok, 429U, {}) == read_result::unanswered);
}

} // namespace rhubarbwharf::loader::internal
