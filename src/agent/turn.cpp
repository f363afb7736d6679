#include <agent/turn.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbwharf::agent {

namespace internal {

[[nodiscard]] auto rank(const std::string_view instance, const ticket_number ticket) -> std::uint64_t {
    return mix(stable_hash(instance), ticket.value());
}

[[nodiscard]] auto ranks_before(const member& other, const turn_request& request) -> bool {
    const auto other_rank = rank(other.m_instance, request.m_ticket);
    const auto own_rank = rank(request.m_instance, request.m_ticket);
    return std::pair{other_rank, std::string_view{other.m_instance}} < std::pair{own_rank, request.m_instance};
}

[[nodiscard]] auto has_ticket_in_force(const member& other, const turn_request& request) -> bool {
    return other.m_phase == phase::serving && other.m_ticket >= request.m_ticket;
}

[[nodiscard]] auto blocks_turn(const member& other, const turn_request& request) -> bool {
    if (other.m_leaving || has_ticket_in_force(other, request)) {
        return false;
    }
    const auto is_out_of_service = other.m_phase != phase::serving;
    if (!ranks_before(other, request)) {
        return request.m_is_overdue && is_out_of_service;
    }
    return !request.m_is_overdue || is_out_of_service || other.m_ready;
}

} // namespace internal

auto batch_size(const std::size_t members, const double share) -> std::size_t {
    const auto rounded = static_cast<std::size_t>(static_cast<double>(members) * share);
    return std::max<std::size_t>(rounded, 1);
}

auto is_turn(const std::span<const member> others, const turn_request& request) -> bool {
    const auto staying_members = std::ranges::count(others, false, &member::m_leaving);
    const auto batch = batch_size(static_cast<std::size_t>(staying_members) + 1, request.m_out_of_service_share);
    const auto blocking =
        std::ranges::count_if(others, [&](const auto& other) { return internal::blocks_turn(other, request); });
    return static_cast<std::size_t>(blocking) < batch;
}

} // namespace rhubarbwharf::agent
