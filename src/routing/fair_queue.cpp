#include <algorithm>
#include <cmath>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/routing/fair_queue.hpp>

namespace rhubarbwharf::routing {

namespace internal {

constexpr double send_rate_smoothing_s = 2.0;

[[nodiscard]] auto send_rate_at(const fair_queue& queue, const time_point now) noexcept -> double {
    const auto since = std::chrono::duration<double>{now - queue.m_send_rate_updated}.count();
    return queue.m_send_rate * std::exp(-std::max(since, 0.0) / send_rate_smoothing_s);
}

[[nodiscard]] auto find_or_insert_organisation(fair_queue& queue, const organisation_id organisation)
    -> organisation_queue& {
    if (queue.m_organisations.size() <= organisation.value()) {
        queue.m_organisations.resize(organisation.value() + 1U);
    }
    return queue.m_organisations[organisation.value()];
}

[[nodiscard]] auto weighted_length(const organisation_queue& row) noexcept -> double {
    return static_cast<double>(row.m_waiting.size()) / row.m_weight;
}

auto insert_by_priority(organisation_queue& row, const queued_request& entry) -> void {
    const auto position = std::ranges::find_if(
        row.m_waiting, [&entry](const queued_request& other) { return other.m_priority < entry.m_priority; });
    row.m_waiting.insert(position, entry);
}

/*! @brief Lower bound of the virtual time of an organisation that has not used its share. It limits the requests that
 * are served in advance of the other organisations to `credit_requests`. */
[[nodiscard]] auto min_virtual_time(const fair_queue& queue, const organisation_queue& row) noexcept -> double {
    constexpr double credit_requests = 12.0;
    return queue.m_virtual_time - credit_requests / row.m_weight;
}

auto advance_virtual_time(fair_queue& queue, organisation_queue& row) -> void {
    row.m_virtual_time = std::max(row.m_virtual_time, min_virtual_time(queue, row)) + 1.0 / row.m_weight;
}

/*! @brief Requests of one organisation that may wait: its share by weight among itself and the organisations that
 * have waiting requests. */
[[nodiscard]] auto organisation_limit(const fair_queue& queue, const organisation_queue& own,
                                      const std::size_t max_size) noexcept -> double {
    auto weights = own.m_waiting.empty() ? own.m_weight : 0.0;
    for (const auto& row : queue.m_organisations) {
        weights += row.m_waiting.empty() ? 0.0 : row.m_weight;
    }
    constexpr double min_limit = 2.0;
    return std::max(min_limit, static_cast<double>(max_size) * own.m_weight / weights);
}

[[nodiscard]] auto longest_queue(fair_queue& queue) -> organisation_queue& {
    return *std::ranges::max_element(queue.m_organisations, {}, weighted_length);
}

} // namespace internal

auto set_weight(fair_queue& queue, const organisation_id organisation, const double weight) -> void {
    ensure(weight > 0.0, "a weight must be above zero");
    internal::find_or_insert_organisation(queue, organisation).m_weight = weight;
}

auto record_sent(fair_queue& queue, const time_point now) noexcept -> void {
    queue.m_send_rate = internal::send_rate_at(queue, now) + 1.0 / internal::send_rate_smoothing_s;
    queue.m_send_rate_updated = now;
}

auto queue_limit(const fair_queue& queue, const time_point now, const duration max_wait) noexcept -> std::size_t {
    constexpr double min_limit = 8.0;
    constexpr double fill_fraction = 0.7;
    const auto sendable =
        fill_fraction * internal::send_rate_at(queue, now) * std::chrono::duration<double>{max_wait}.count();
    return static_cast<std::size_t>(std::max(min_limit, sendable));
}

auto push(fair_queue& queue, const queued_request& entry, const std::size_t max_size) -> push_result {
    auto& own = internal::find_or_insert_organisation(queue, entry.m_organisation);
    if (max_size == 0U) {
        return {code::overloaded, std::nullopt};
    }
    if (static_cast<double>(own.m_waiting.size()) >= internal::organisation_limit(queue, own, max_size)) {
        return {own.m_waiting.size() < queue.m_size ? code::over_share : code::overloaded, std::nullopt};
    }
    std::optional<queued_request> displaced{};
    if (queue.m_size >= max_size) {
        auto& longest = internal::longest_queue(queue);
        const auto own_after = static_cast<double>(own.m_waiting.size() + 1U) / own.m_weight;
        if (&longest == &own || own_after >= internal::weighted_length(longest)) {
            const auto is_over_share = &longest == &own && queue.m_organisations.size() > 1U;
            return {is_over_share ? code::over_share : code::overloaded, std::nullopt};
        }
        displaced = longest.m_waiting.back();
        longest.m_waiting.pop_back();
        --queue.m_size;
    }
    ensure(queue.m_size < max_size || displaced, "no request is added to a full queue");
    internal::insert_by_priority(own, entry);
    ++queue.m_size;
    return {code::ok, displaced};
}

auto pop(fair_queue& queue) -> std::optional<queued_request> {
    organisation_queue* next = nullptr;
    for (auto& row : queue.m_organisations) {
        if (row.m_waiting.empty()) {
            continue;
        }
        row.m_virtual_time = std::max(row.m_virtual_time, internal::min_virtual_time(queue, row));
        if (next == nullptr || row.m_virtual_time < next->m_virtual_time) {
            next = &row;
        }
    }
    if (next == nullptr) {
        return std::nullopt;
    }
    const auto entry = next->m_waiting.front();
    next->m_waiting.pop_front();
    --queue.m_size;
    queue.m_virtual_time = std::max(queue.m_virtual_time, next->m_virtual_time);
    internal::advance_virtual_time(queue, *next);
    return entry;
}

auto undo_pop(fair_queue& queue, const queued_request& entry) -> void {
    auto& row = internal::find_or_insert_organisation(queue, entry.m_organisation);
    row.m_waiting.push_front(entry);
    row.m_virtual_time -= 1.0 / row.m_weight;
    ++queue.m_size;
}

auto charge_request(fair_queue& queue, const organisation_id organisation) -> void {
    internal::advance_virtual_time(queue, internal::find_or_insert_organisation(queue, organisation));
}

auto expire(fair_queue& queue, const time_point now) -> std::vector<queued_request> {
    std::vector<queued_request> expired{};
    for (auto& row : queue.m_organisations) {
        std::erase_if(row.m_waiting, [&expired, now](const queued_request& entry) {
            if (entry.m_send_deadline > now) {
                return false;
            }
            expired.push_back(entry);
            return true;
        });
    }
    queue.m_size -= expired.size();
    return expired;
}

auto erase(fair_queue& queue, const request_id request) -> bool {
    for (auto& row : queue.m_organisations) {
        const auto erased =
            std::erase_if(row.m_waiting, [request](const queued_request& entry) { return entry.m_request == request; });
        if (erased > 0U) {
            queue.m_size -= erased;
            return true;
        }
    }
    return false;
}

} // namespace rhubarbwharf::routing
