#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/routing/queue.hpp>

namespace rhubarbwharf::routing {

namespace internal {

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

auto serve(fair_queue& queue, organisation_row& row) -> void {
    row.m_served = std::max(row.m_served, queue.m_served) + 1.0 / row.m_weight;
}

[[nodiscard]] auto longest(fair_queue& queue) -> organisation_row& {
    return *std::ranges::max_element(queue.m_organisations, {}, length);
}

} // namespace internal

auto set_weight(fair_queue& queue, const organisation_id organisation, const double weight) -> void {
    ensure(weight > 0.0, "a weight is above zero");
    internal::row(queue, organisation).m_weight = weight;
}

auto queue_limit(const std::size_t slots) noexcept -> std::size_t {
    constexpr std::size_t least = 16;
    return least + slots / 2U;
}

auto push(fair_queue& queue, const queued& entry, const std::size_t size_most) -> pushed {
    auto& own = internal::row(queue, entry.m_organisation);
    if (size_most == 0U) {
        return {code::overloaded, std::nullopt};
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
        row.m_served = std::max(row.m_served, queue.m_served);
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
    queue.m_served = least->m_served;
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
