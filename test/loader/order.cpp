#include <initializer_list>

#include <doctest/doctest.h>

#include <rhubarbwharf/loader/order.hpp>

namespace rhubarbwharf::loader {

namespace {

constexpr std::uint64_t incarnation = 1'000U;

[[nodiscard]] auto one_order() -> open_orders {
    open_orders out{};
    record_order(out, incarnation, 3U);
    return out;
}

} // namespace

TEST_CASE("an order may be accepted until it is answered") {
    CHECK_FALSE(may_be_accepted({}));
    for (const auto end : {order_end::accepted, order_end::refused}) {
        auto orders = one_order();
        CHECK(may_be_accepted(orders));
        record_order_end(orders, incarnation, end);
        CHECK_FALSE(may_be_accepted(orders));
    }
}

TEST_CASE("an unanswered order may be accepted until a report counts a further order") {
    auto orders = one_order();
    record_order_end(orders, incarnation, order_end::unanswered);
    CHECK_FALSE(record_order_report(orders, incarnation, 3U));
    CHECK(may_be_accepted(orders));
    CHECK(record_order_report(orders, incarnation, 4U));
    CHECK_FALSE(may_be_accepted(orders));
    CHECK_FALSE(record_order_report(orders, incarnation, 4U));
}

TEST_CASE("a refused copy leaves the unanswered order open, an accepted one does not") {
    auto orders = one_order();
    record_order_end(orders, incarnation, order_end::unanswered);
    record_order(orders, incarnation, 3U);
    record_order_end(orders, incarnation, order_end::refused);
    CHECK(may_be_accepted(orders));
    record_order(orders, incarnation, 3U);
    record_order_end(orders, incarnation, order_end::accepted);
    CHECK_FALSE(may_be_accepted(orders));
}

TEST_CASE("a restarted runner accepts no order that was sent before") {
    auto orders = one_order();
    record_order_end(orders, incarnation, order_end::unanswered);
    CHECK(record_order_report(orders, incarnation + 1U, 0U));
    CHECK_FALSE(may_be_accepted(orders));
    record_order(orders, incarnation + 1U, 0U);
    record_order_end(orders, incarnation, order_end::accepted);
    CHECK(may_be_accepted(orders));
}

TEST_CASE("an order counts as lost after many reports of a runner that has not accepted it") {
    auto orders = one_order();
    for (auto report = 1U; report < reports_until_order_lost; ++report) {
        CHECK_FALSE(record_order_report(orders, incarnation, 3U));
    }
    record_order_end(orders, incarnation, order_end::unanswered);
    for (auto report = 1U; report < reports_until_order_lost; ++report) {
        CHECK_FALSE(record_order_report(orders, incarnation, 3U));
    }
    CHECK(may_be_accepted(orders));
    CHECK(record_order_report(orders, incarnation, 3U));
    CHECK_FALSE(may_be_accepted(orders));
}

} // namespace rhubarbwharf::loader
