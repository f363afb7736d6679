#include <algorithm>
#include <cmath>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/routing/queue.hpp>

namespace rhubarbwharf::routing {

namespace internal {

constexpr double rate_window_s = 2.0;

[[nodiscard]] auto rate_at(const fair_queue& queue, const time_point now) noexcept -> double {
    const auto since = std::chrono::duration<double>{now - queue.m_rate_at}.count();
    return queue.m_rate * std::exp(-std::max(since, 0.0) / rate_window_s);
}

[[nodiscard]] auto row(fair_queue& queue, const organisation_id organisation) -> organisation_row& {
    if (queue.m_organisations.size() <= organisation.value()) {
        queue.m_organisations.resize(organisation.value() + 1U);
    }
    return queue.m_organisations[organisation.value()];
}

[[nodiscard]] auto length(const organisation_row& row) noexcept -> double {
    return static_cast<double>(row.m_waiting.size()) / row.m_weight;
}

auto insert(organisation_row& row, const queued& entry) -> void {
    const auto place = std::ranges::find_if(
        row.m_waiting, [&entry](const queued& other) { return other.m_priority < entry.m_priority; });
    row.m_waiting.insert(place, entry);
}

/*! @brief Where an organisation starts that has left its share unused: a few requests ahead of the others. */
[[nodiscard]] auto floor(const fair_queue& queue, const organisation_row& row) noexcept -> double {
    constexpr double credit = 12.0;
    return queue.m_served - credit / row.m_weight;
}

auto serve(fair_queue& queue, organisation_row& row) -> void {
    row.m_served = std::max(row.m_served, floor(queue, row)) + 1.0 / row.m_weight;
}

/*! @brief Requests of one organisation that may wait: its share of the places among those that wait. */
[[nodiscard]] auto own_limit(const fair_queue& queue, const organisation_row& own, const std::size_t size_most) noexcept
    -> double {
    auto weights = own.m_waiting.empty() ? own.m_weight : 0.0;
    for (const auto& row : queue.m_organisations) {
        weights += row.m_waiting.empty() ? 0.0 : row.m_weight;
    }
    constexpr double least = 2.0;
    return std::max(least, static_cast<double>(size_most) * own.m_weight / weights);
}

[[nodiscard]] auto longest(fair_queue& queue) -> organisation_row& {
    return *std::ranges::max_element(queue.m_organisations, {}, length);
}

} // namespace internal

auto set_weight(fair_queue& queue, const organisation_id organisation, const double weight) -> void {
    ensure(weight > 0.0, "a weight is above zero");
    internal::row(queue, organisation).m_weight = weight;
}

auto note_sent(fair_queue& queue, const time_point now) noexcept -> void {
    queue.m_rate = internal::rate_at(queue, now) + 1.0 / internal::rate_window_s;
    queue.m_rate_at = now;
}

auto queue_limit(const fair_queue& queue, const time_point now, const duration queue_time) noexcept -> std::size_t {
    constexpr double least = 8.0;
    constexpr double hopeful_share = 0.7;
    const auto in_time =
        hopeful_share * internal::rate_at(queue, now) * std::chrono::duration<double>{queue_time}.count();
    return static_cast<std::size_t>(std::max(least, in_time));
}

auto push(fair_queue& queue, const queued& entry, const std::size_t size_most) -> pushed {
    auto& own = internal::row(queue, entry.m_organisation);
    if (size_most == 0U) {
        return {code::overloaded, std::nullopt};
    }
    if (static_cast<double>(own.m_waiting.size()) >= internal::own_limit(queue, own, size_most)) {
        return {own.m_waiting.size() < queue.m_size ? code::over_share : code::overloaded, std::nullopt};
    }
    std::optional<queued> displaced{};
    if (queue.m_size >= size_most) {
        auto& most = internal::longest(queue);
        const auto own_after = static_cast<double>(own.m_waiting.size() + 1U) / own.m_weight;
        if (&most == &own || own_after >= internal::length(most)) {
            const auto over = &most == &own && queue.m_organisations.size() > 1U;
            return {over ? code::over_share : code::overloaded, std::nullopt};
        }
        displaced = most.m_waiting.back();
        most.m_waiting.pop_back();
        --queue.m_size;
    }
    ensure(queue.m_size < size_most || displaced, "a full queue grows no further");
    internal::insert(own, entry);
    ++queue.m_size;
    return {code::ok, displaced};
}

auto pop(fair_queue& queue) -> std::optional<queued> {
    organisation_row* least = nullptr;
    for (auto& row : queue.m_organisations) {
        if (row.m_waiting.empty()) {
            continue;
        }
        row.m_served = std::max(row.m_served, internal::floor(queue, row));
        if (least == nullptr || row.m_served < least->m_served) {
            least = &row;
        }
    }
    if (least == nullptr) {
        return std::nullopt;
    }
    const auto entry = least->m_waiting.front();
    least->m_waiting.pop_front();
    --queue.m_size;
    queue.m_served = std::max(queue.m_served, least->m_served);
    internal::serve(queue, *least);
    return entry;
}

auto unpop(fair_queue& queue, const queued& entry) -> void {
    auto& row = internal::row(queue, entry.m_organisation);
    row.m_waiting.push_front(entry);
    row.m_served -= 1.0 / row.m_weight;
    ++queue.m_size;
}

auto charge(fair_queue& queue, const organisation_id organisation) -> void {
    internal::serve(queue, internal::row(queue, organisation));
}

auto expire(fair_queue& queue, const time_point now) -> std::vector<queued> {
    std::vector<queued> late{};
    for (auto& row : queue.m_organisations) {
        std::erase_if(row.m_waiting, [&late, now](const queued& entry) {
            if (entry.m_until > now) {
                return false;
            }
            late.push_back(entry);
            return true;
        });
    }
    queue.m_size -= late.size();
    return late;
}

auto erase(fair_queue& queue, const request_id request) -> bool {
    for (auto& row : queue.m_organisations) {
        const auto gone =
            std::erase_if(row.m_waiting, [request](const queued& entry) { return entry.m_request == request; });
        if (gone > 0U) {
            queue.m_size -= gone;
            return true;
        }
    }
    return false;
}

} // namespace rhubarbwharf::routing
