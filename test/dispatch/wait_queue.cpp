#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/wait_queue.hpp>

namespace rhubarbwharf::dispatch {

TEST_CASE("requests that no server is left to run do not hold back those behind them") {
    send_scan scan{};
    for (auto each = 0U; each < 3U * max_send_misses; ++each) {
        CHECK(continues_after(scan, send_result::no_server));
    }
}

TEST_CASE("the requests behind four that lack capacity are not tried") {
    send_scan scan{};
    for (auto each = 1U; each < max_send_misses; ++each) {
        CHECK(continues_after(scan, send_result::no_capacity));
        CHECK(continues_after(scan, send_result::ended));
    }
    CHECK_FALSE(continues_after(scan, send_result::no_capacity));
}

// Load pattern: the region that some requests may use is full or away, and there are free servers elsewhere.
TEST_CASE("requests that lack servers of their region do not hold back those that may use others") {
    constexpr std::uint64_t restricted = 7U;
    send_scan scan{};
    for (auto each = 0U; each < max_send_misses; ++each) {
        CHECK(is_tried(scan, restricted));
        CHECK(continues_after(scan, send_result::no_capacity, restricted));
    }
    CHECK_FALSE(is_tried(scan, restricted));
    CHECK(is_tried(scan, 0U));
    CHECK(is_tried(scan, 8U));
}

} // namespace rhubarbwharf::dispatch
