#include <algorithm>

#include <rhubarbwharf/loader/order.hpp>

namespace rhubarbwharf::loader {

auto may_be_accepted(const open_orders& orders) noexcept -> bool {
    return orders.m_count != 0U;
}

auto record_order(open_orders& orders, const std::uint64_t started_ms, const std::uint64_t expected_orders) noexcept
    -> void {
    if (orders.m_started_ms != started_ms || orders.m_count == 0U) {
        orders = {started_ms, expected_orders, 0U, 0U};
    }
    orders.m_expected_orders = std::max(orders.m_expected_orders, expected_orders);
    orders.m_reports = 0U;
    ++orders.m_count;
}

auto record_order_end(open_orders& orders, const std::uint64_t started_ms, const order_end end) noexcept -> void {
    if (orders.m_started_ms != started_ms || orders.m_count == 0U) {
        return;
    }
    switch (end) {
    case order_end::accepted:
        orders.m_count = 0U;
        break;
    case order_end::refused:
        --orders.m_count;
        break;
    case order_end::unanswered:
        orders.m_reports = 0U;
        break;
    }
}

auto record_order_report(open_orders& orders, const std::uint64_t started_ms,
                         const std::uint64_t accepted_orders) noexcept -> bool {
    if (orders.m_count == 0U) {
        return false;
    }
    const auto cannot_be_accepted = orders.m_started_ms != started_ms || accepted_orders > orders.m_expected_orders;
    if (!cannot_be_accepted && ++orders.m_reports < reports_until_order_lost) {
        return false;
    }
    orders.m_count = 0U;
    return true;
}

} // namespace rhubarbwharf::loader
