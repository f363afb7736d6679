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

TEST_CASE("a loader that starts assumes an order of its predecessor until the runner shows that none can be accepted") {
    open_orders orders{};
    inherit_orders(orders, incarnation, 3U);
    CHECK(may_be_accepted(orders));
    CHECK_FALSE(record_order_report(orders, incarnation, 3U));
    CHECK(record_order_report(orders, incarnation, 4U));
    CHECK_FALSE(may_be_accepted(orders));
    CHECK_FALSE(orders.m_is_inherited);
    inherit_orders(orders, incarnation, 4U);
    CHECK(record_order_report(orders, incarnation + 1U, 0U));
    CHECK_FALSE(may_be_accepted(orders));
}

TEST_CASE("staged pieces show which version a predecessor may have ordered") {
    constexpr std::size_t pieces = 8U;
    const auto judge = [](const std::size_t staged, const std::size_t wanted, const std::optional<std::size_t> previous,
                          const std::uint64_t held, const std::size_t shared = 0U) {
        return judge_inherited_order({pieces, staged, wanted, previous, shared, 4U, held});
    };
    SUBCASE("an order is sent only once all pieces are staged") {
        CHECK(judge(0U, 0U, 0U, 2U) == inherited_order::none);
        CHECK(judge(7U, 0U, std::nullopt, 2U) == inherited_order::none);
        CHECK(judge(7U, 0U, 7U, 2U) == inherited_order::none);
    }
    SUBCASE("pieces of the wanted version alone allow an order for it, also if some have turned corrupt") {
        CHECK(judge(8U, 8U, std::nullopt, 2U) == inherited_order::wanted_version);
        CHECK(judge(8U, 7U, 0U, 2U) == inherited_order::wanted_version);
        CHECK(judge(8U, 7U, std::nullopt, 3U) == inherited_order::wanted_version);
        CHECK(judge(8U, 2U, 0U, 2U, 5U) == inherited_order::wanted_version);
        CHECK(judge(8U, 8U, std::nullopt, 4U) == inherited_order::none);
    }
    SUBCASE("pieces of the previous version alone allow an order for it unless the runner holds it") {
        CHECK(judge(8U, 0U, 8U, 2U) == inherited_order::previous_version);
        CHECK(judge(8U, 0U, 6U, 2U) == inherited_order::previous_version);
        CHECK(judge(8U, 0U, 3U, 2U, 4U) == inherited_order::previous_version);
        CHECK(judge(8U, 0U, 8U, 3U) == inherited_order::none);
    }
    SUBCASE("pieces of two versions show that no order is open") {
        CHECK(judge(8U, 1U, 7U, 2U) == inherited_order::none);
        CHECK(judge(8U, 7U, 1U, 2U) == inherited_order::none);
    }
    SUBCASE("a version whose pieces were still being staged was not ordered") {
        CHECK(judge(8U, 0U, 2U, 2U) == inherited_order::none);
        CHECK(judge(8U, 2U, std::nullopt, 3U) == inherited_order::none);
        CHECK(judge(8U, 0U, std::nullopt, 3U) == inherited_order::none);
    }
    SUBCASE("pieces of no known version belong to the held one, or to one between that can't be told") {
        CHECK(judge(8U, 0U, 0U, 2U) == inherited_order::none);
        CHECK(judge(8U, 0U, 0U, 1U) == inherited_order::unknown);
        CHECK(judge(8U, 1U, std::nullopt, 2U) == inherited_order::unknown);
    }
}

} // namespace rhubarbwharf::loader
