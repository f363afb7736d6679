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

} // namespace rhubarbwharf::dispatch
