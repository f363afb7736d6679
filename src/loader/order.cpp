#include <algorithm>

#include <rhubarbwharf/loader/order.hpp>

namespace rhubarbwharf::loader {

auto may_be_accepted(const open_orders& orders) noexcept -> bool {
    return orders.m_count != 0U;
}

auto record_order(open_orders& orders, const std::uint64_t started_ms, const std::uint64_t expected_orders) noexcept
    -> void {
    if (orders.m_started_ms != started_ms || orders.m_count == 0U) {
        orders = {started_ms, expected_orders, 0U, 0U, false};
    }
    orders.m_expected_orders = std::max(orders.m_expected_orders, expected_orders);
    orders.m_reports = 0U;
    ++orders.m_count;
}

auto inherit_orders(open_orders& orders, const std::uint64_t started_ms, const std::uint64_t accepted_orders) noexcept
    -> void {
    orders = {started_ms, accepted_orders, 1U, 0U, true};
}

auto record_order_end(open_orders& orders, const std::uint64_t started_ms, const order_end end) noexcept -> void {
    if (orders.m_started_ms != started_ms || orders.m_count == 0U) {
        return;
    }
    switch (end) {
    case order_end::accepted:
        orders = {};
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
    orders = {};
    return true;
}

auto judge_inherited_order(const staged_evidence& staged) noexcept -> inherited_order {
    const auto previous_version = staged.m_wanted_version - 1U;
    const auto may_have_ordered_previous = staged.m_held_version < previous_version;
    const auto wanted =
        staged.m_held_version >= staged.m_wanted_version ? inherited_order::none : inherited_order::wanted_version;
    if (staged.m_staged < staged.m_piece_count) {
        return inherited_order::none;
    }
    if (!staged.m_previous) {
        const auto is_wanted = staged.m_wanted == staged.m_piece_count;
        return is_wanted || (staged.m_wanted != 0U && !may_have_ordered_previous) ? wanted : inherited_order::unknown;
    }
    if (staged.m_wanted != 0U) {
        return *staged.m_previous == 0U ? wanted : inherited_order::none;
    }
    if (*staged.m_previous == 0U) {
        return inherited_order::unknown;
    }
    return may_have_ordered_previous ? inherited_order::previous_version : inherited_order::none;
}

} // namespace rhubarbwharf::loader
