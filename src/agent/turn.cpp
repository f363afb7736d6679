#include <agent/turn.hpp>

#include <algorithm>
#include <utility>

namespace rhubarbwharf::agent {

namespace internal {

[[nodiscard]] auto rank(const std::string_view instance, const ticket_number ticket) -> std::uint64_t {
    return mix(stable_hash(instance), ticket.value());
}

[[nodiscard]] auto is_before(const member& other, const turn_question& question) -> bool {
    const auto theirs = rank(other.m_instance, question.m_ticket);
    const auto own = rank(question.m_instance, question.m_ticket);
    return std::pair{theirs, std::string_view{other.m_instance}} < std::pair{own, question.m_instance};
}

[[nodiscard]] auto is_done(const member& other, const turn_question& question) -> bool {
    return other.m_phase == phase::serving && other.m_ticket >= question.m_ticket;
}

[[nodiscard]] auto holds_up(const member& other, const turn_question& question) -> bool {
    if (other.m_leaving || is_done(other, question)) {
        return false;
    }
    const auto is_out = other.m_phase != phase::serving;
    if (!is_before(other, question)) {
        return question.m_is_overdue && is_out;
    }
    return !question.m_is_overdue || is_out || other.m_ready;
}

} // namespace internal

auto batch_size(const std::size_t members, const double share) -> std::size_t {
    const auto rounded = static_cast<std::size_t>(static_cast<double>(members) * share);
    return std::max<std::size_t>(rounded, 1);
}

auto is_turn(const std::span<const member> others, const turn_question& question) -> bool {
    const auto staying = std::ranges::count(others, false, &member::m_leaving);
    const auto batch = batch_size(static_cast<std::size_t>(staying) + 1, question.m_share);
    const auto ahead =
        std::ranges::count_if(others, [&](const auto& other) { return internal::holds_up(other, question); });
    return static_cast<std::size_t>(ahead) < batch;
}

} // namespace rhubarbwharf::agent
