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
    constexpr std::size_t parts = 4U;
    constexpr std::size_t least_parts = 3U;
    if (staged.m_staged < staged.m_piece_count || staged.m_held_version >= staged.m_wanted_version) {
        return inherited_order::none;
    }
    const auto may_be_ordered = [&staged](const std::size_t pieces) {
        return pieces * parts >= staged.m_piece_count * least_parts;
    };
    const auto versions_between = staged.m_wanted_version - staged.m_held_version - 1U;
    if (versions_between > 0U && !staged.m_previous) {
        return staged.m_wanted == staged.m_piece_count ? inherited_order::wanted_version : inherited_order::unknown;
    }
    const auto previous = staged.m_previous.value_or(0U);
    if (previous == 0U && may_be_ordered(staged.m_wanted + staged.m_shared)) {
        return inherited_order::wanted_version;
    }
    if (staged.m_wanted != 0U || versions_between == 0U) {
        return inherited_order::none;
    }
    if (previous != 0U) {
        return may_be_ordered(previous + staged.m_shared) ? inherited_order::previous_version : inherited_order::none;
    }
    return versions_between > 1U ? inherited_order::unknown : inherited_order::none;
}

} // namespace rhubarbwharf::loader
