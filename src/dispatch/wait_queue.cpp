#include <algorithm>
#include <cmath>

#include <rhubarbwharf/dispatch/wait_queue.hpp>

namespace rhubarbwharf::dispatch {

namespace {

/*! @brief Time constant of the exponentially smoothed send rate. */
constexpr double send_rate_smoothing_s = 1.0;
/*! @brief Lower bound of the rate used for estimates, so that requests may wait before anything has been sent. */
constexpr double min_send_rate_per_s = 2.0;

[[nodiscard]] auto to_seconds(const duration time) noexcept -> double {
    return std::chrono::duration<double>{time}.count();
}

} // namespace

auto send_rate(const wait_queue& queue, const time_point now) noexcept -> double {
    return queue.m_send_rate * std::exp(-to_seconds(now - queue.m_send_rate_updated) / send_rate_smoothing_s);
}

auto record_sent(wait_queue& queue, const time_point now) noexcept -> void {
    queue.m_send_rate = send_rate(queue, now) + 1.0 / send_rate_smoothing_s;
    queue.m_send_rate_updated = now;
}

auto expected_wait(const wait_queue& queue, const waiting_request& request, const time_point now) noexcept -> duration {
    const auto is_late = request.m_on_time_deadline <= now;
    const auto ahead = std::ranges::count_if(queue.m_waiting, [&](const waiting_request& each) {
        if (each.m_priority != request.m_priority) {
            return each.m_priority < request.m_priority;
        }
        const auto other_is_late = each.m_on_time_deadline <= now;
        return other_is_late == is_late ? each.m_urgency <= request.m_urgency : is_late;
    });
    const auto wait = static_cast<double>(ahead) / std::max(min_send_rate_per_s, send_rate(queue, now));
    const auto max_wait_s = to_seconds(max_wait_estimate);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>{std::min(wait, max_wait_s)});
}

auto refusal_retry_after(const wait_queue& queue, const waiting_request& request, const time_point now)
    -> std::optional<duration> {
    const auto wait = expected_wait(queue, request, now);
    const auto is_late = request.m_on_time_deadline <= now;
    const auto remaining =
        is_late ? std::min<duration>(request.m_send_deadline - now, max_late_wait) : request.m_on_time_deadline - now;
    const auto max_wait = std::chrono::duration_cast<duration>(remaining * max_expected_wait_fraction);
    if (wait <= max_wait) {
        return std::nullopt;
    }
    return wait;
}

auto push(wait_queue& queue, const waiting_request& entry) -> void {
    queue.m_waiting.push_back(entry);
}

auto send_order(const wait_queue& queue, const time_point now) -> std::vector<waiting_request> {
    auto out = queue.m_waiting;
    const auto before = [now](const waiting_request& left, const waiting_request& right) {
        if (left.m_priority != right.m_priority) {
            return left.m_priority < right.m_priority;
        }
        const auto left_late = left.m_on_time_deadline <= now;
        const auto right_late = right.m_on_time_deadline <= now;
        if (left_late != right_late) {
            return right_late;
        }
        return left.m_urgency != right.m_urgency ? left.m_urgency < right.m_urgency : left.m_arrived < right.m_arrived;
    };
    std::ranges::stable_sort(out, before);
    return out;
}

auto is_tried(const send_scan& scan, const std::uint64_t group) noexcept -> bool {
    const auto found = scan.m_misses.find(group);
    return found == scan.m_misses.end() || found->second < max_send_misses;
}

auto continues_after(send_scan& scan, const send_result result, const std::uint64_t group) -> bool {
    scan.m_misses[group] += result == send_result::no_capacity ? 1U : 0U;
    return is_tried(scan, 0U);
}

auto erase(wait_queue& queue, const request_id request) -> bool {
    return std::erase_if(queue.m_waiting,
                         [request](const waiting_request& each) { return each.m_request == request; }) > 0U;
}

auto expire(wait_queue& queue, const time_point now) -> std::vector<waiting_request> {
    std::vector<waiting_request> out{};
    std::erase_if(queue.m_waiting, [&](const waiting_request& each) {
        if (each.m_send_deadline > now) {
            return false;
        }
        out.push_back(each);
        return true;
    });
    return out;
}

} // namespace rhubarbwharf::dispatch
