#include <agent/turn.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbwharf::agent {

namespace internal {

[[nodiscard]] auto rank(const std::string_view instance, const ticket_number ticket) -> std::uint64_t {
    return mix(stable_hash(instance), ticket.value());
}

[[nodiscard]] auto ranks_before(const member& other, const turn_request& question) -> bool {
    const auto theirs = rank(other.m_instance, question.m_ticket);
    const auto own = rank(question.m_instance, question.m_ticket);
    return std::pair{theirs, std::string_view{other.m_instance}} < std::pair{own, question.m_instance};
}

[[nodiscard]] auto has_ticket_in_force(const member& other, const turn_request& question) -> bool {
    return other.m_phase == phase::serving && other.m_ticket >= question.m_ticket;
}

[[nodiscard]] auto blocks_turn(const member& other, const turn_request& question) -> bool {
    if (other.m_leaving || has_ticket_in_force(other, question)) {
        return false;
    }
    const auto is_out = other.m_phase != phase::serving;
    if (!ranks_before(other, question)) {
        return question.m_is_overdue && is_out;
    }
    return !question.m_is_overdue || is_out || other.m_ready;
}

} // namespace internal

auto batch_size(const std::size_t members, const double share) -> std::size_t {
    const auto rounded = static_cast<std::size_t>(static_cast<double>(members) * share);
    return std::max<std::size_t>(rounded, 1);
}

auto is_turn(const std::span<const member> others, const turn_request& question) -> bool {
    const auto staying = std::ranges::count(others, false, &member::m_leaving);
    const auto batch = batch_size(static_cast<std::size_t>(staying) + 1, question.m_out_of_service_share);
    const auto ahead =
        std::ranges::count_if(others, [&](const auto& other) { return internal::blocks_turn(other, question); });
    return static_cast<std::size_t>(ahead) < batch;
}

} // namespace rhubarbwharf::agent
