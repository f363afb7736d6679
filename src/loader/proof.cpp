#include <algorithm>

#include <rhubarbwharf/loader/proof.hpp>

namespace rhubarbwharf::loader {

auto record_report(acceptance_record& record, const std::uint64_t started_ms, const std::uint64_t accepted_orders,
                   const time_point requested_at, const time_point arrived_at) -> void {
    if (record.m_started_ms != started_ms) {
        record = {started_ms, accepted_orders, requested_at, {}};
        if (accepted_orders > 0U) {
            // An earlier process has ordered it.
            record.m_last = acceptance_window{{}, arrived_at};
        }
        return;
    }
    if (accepted_orders < record.m_accepted_orders) {
        return;
    }
    record_acceptance(record, started_ms, accepted_orders, {record.m_reported_at, arrived_at});
    record.m_reported_at = requested_at;
}

auto record_acceptance(acceptance_record& record, const std::uint64_t started_ms, const std::uint64_t accepted_orders,
                       const acceptance_window& window) -> void {
    if (record.m_started_ms != started_ms || accepted_orders <= record.m_accepted_orders) {
        return;
    }
    record.m_accepted_orders = accepted_orders;
    record.m_last = window;
}

auto record_intact(piece_evidence& evidence, const time_point requested_at, const time_point answered_at) noexcept
    -> void {
    evidence.m_intact_requested = requested_at;
    evidence.m_intact_answered = answered_at;
    evidence.m_corrupt = false;
}

auto record_write(piece_evidence& evidence, const time_point written_until) noexcept -> void {
    evidence = {{}, {}, written_until, false};
}

auto judge_piece(const piece_evidence& evidence, const acceptance_window& accepted) noexcept -> piece_judgement {
    const auto is_recent =
        evidence.m_intact_requested && accepted.m_latest - *evidence.m_intact_requested <= max_unnoticed_corruption;
    const auto was_read_before = evidence.m_intact_answered <= accepted.m_earliest;
    const auto may_be_replaced =
        evidence.m_written_until != time_point{} && evidence.m_written_until >= accepted.m_earliest;
    if (is_recent && (was_read_before || !may_be_replaced)) {
        return piece_judgement::proven;
    }
    return evidence.m_corrupt || may_be_replaced ? piece_judgement::doubtful : piece_judgement::unread;
}

auto judge_load(const std::span<const piece_evidence> pieces, const acceptance_window& accepted) -> load_judgement {
    load_judgement out{};
    for (std::size_t piece = 0U; piece < pieces.size(); ++piece) {
        const auto judged = judge_piece(pieces[piece], accepted);
        if (judged == piece_judgement::unread) {
            out.m_unread.push_back(piece);
        } else if (judged == piece_judgement::doubtful) {
            out.m_doubtful.push_back(piece);
        }
    }
    return out;
}

auto choose_discard(const std::uint64_t version, const std::size_t layers, const std::size_t pieces,
                    const std::span<const std::size_t> doubtful) -> std::optional<layer_range> {
    if (layers < 2U) {
        return std::nullopt;
    }
    if (version > 1U) {
        return layer_range{version - 1U, 0U, 1U};
    }
    for (std::size_t layer = 0U; layer < layers; ++layer) {
        const auto first = layer * pieces / layers;
        const auto end = ((layer + 1U) * pieces + layers - 1U) / layers;
        const auto is_doubtful = std::ranges::any_of(
            doubtful, [first, end](const std::size_t piece) { return piece >= first && piece < end; });
        if (!is_doubtful) {
            return layer_range{version, layer, layer + 1U};
        }
    }
    return std::nullopt;
}

} // namespace rhubarbwharf::loader
