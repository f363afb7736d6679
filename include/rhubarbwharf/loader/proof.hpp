#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

#include <rhubarbwharf/core/time.hpp>

/**
 * @file
 * @brief Proves that a runner has loaded a version from intact pieces only.
 *
 * A runner loads what is staged at the moment it accepts the order, and staged pieces may turn corrupt at any time.
 * That moment is known only within bounds. A piece that is read intact after it, and was not written since, was intact
 * then. All times are of the boot-time clock, which also counts suspensions.
 */
namespace rhubarbwharf::loader {

/*! @brief Times between which the runner accepted an order. */
struct acceptance_window {
    time_point m_earliest{};
    time_point m_latest{};
};

/*! @brief What is known of the orders that one incarnation of the runner has accepted. */
struct acceptance_record {
    /*! @brief Start of the incarnation, Unix ms; none before the first report. */
    std::optional<std::uint64_t> m_started_ms{};
    /*! @brief Orders that it is known to have accepted. */
    std::uint64_t m_accepted_orders{};
    /*! @brief When the last report with this number was requested. */
    time_point m_reported_at{};
    /*! @brief When it accepted the last of them; none if it has accepted none. */
    std::optional<acceptance_window> m_last{};
};

/**
 * @brief Records the number of accepted orders that a report of the runner states.
 * @param record The record; reset if the report is of another incarnation.
 * @param started_ms Start of the incarnation, Unix ms.
 * @param accepted_orders Orders that it has accepted.
 * @param requested_at When the report was requested: the number may have changed since.
 * @param arrived_at When it arrived.
 */
auto record_report(acceptance_record& record, std::uint64_t started_ms, std::uint64_t accepted_orders,
                   time_point requested_at, time_point arrived_at) -> void;

/**
 * @brief Records that an incarnation of the runner has accepted an order, by its response to this order.
 * @param record The record; unchanged if it is of another incarnation, or has the order already.
 * @param started_ms Start of the incarnation to which the order was sent, Unix ms.
 * @param accepted_orders Orders that it has accepted, this one included.
 * @param window When the order was sent, and when the response arrived.
 */
auto record_acceptance(acceptance_record& record, std::uint64_t started_ms, std::uint64_t accepted_orders,
                       const acceptance_window& window) -> void;

/*! @brief What is known of one staged piece. */
struct piece_evidence {
    /*! @brief When the last read that found the piece intact was requested and answered; none since it was written. */
    std::optional<time_point> m_intact_requested{};
    time_point m_intact_answered{};
    /*! @brief Until when the piece may have been written; the epoch if this process has not written it. */
    time_point m_written_until{};
    /*! @brief Whether the last read found it missing or corrupt, and it was not written since. */
    bool m_corrupt{false};
};

/*! @brief Records a read that found the piece intact. */
auto record_intact(piece_evidence& evidence, time_point requested_at, time_point answered_at) noexcept -> void;

/*! @brief Records that the piece may be written until a time, and forgets what earlier reads found. */
auto record_write(piece_evidence& evidence, time_point written_until) noexcept -> void;

/*! @brief Time after which a write without a response is not expected to take effect any more. */
inline constexpr duration unanswered_write_time = std::chrono::seconds{30};

/*! @brief Longest time for which a piece may have been corrupt when a load takes it. The users' rule allows 3 s. */
inline constexpr duration max_unnoticed_corruption = std::chrono::milliseconds{2'500};

/*! @brief What the evidence says of a piece at the moment the runner accepted an order. */
enum class piece_judgement : std::uint8_t {
    /*! @brief It was intact, or had been corrupt for less than `max_unnoticed_corruption`. */
    proven,
    /*! @brief Not known; a further read can tell. */
    unread,
    /*! @brief It may have been corrupt, and no further read can tell. */
    doubtful,
};

[[nodiscard]] auto judge_piece(const piece_evidence& evidence, const acceptance_window& accepted) noexcept
    -> piece_judgement;

/*! @brief What the evidence says of a whole load. */
struct load_judgement {
    /*! @brief Indices of pieces that have to be read. */
    std::vector<std::size_t> m_unread{};
    /*! @brief Indices of pieces that may have been corrupt. */
    std::vector<std::size_t> m_doubtful{};

    [[nodiscard]] auto is_proven() const noexcept -> bool { return m_unread.empty() && m_doubtful.empty(); }
};

[[nodiscard]] auto judge_load(std::span<const piece_evidence> pieces, const acceptance_window& accepted)
    -> load_judgement;

/*! @brief Version and layers of an order. */
struct layer_range {
    std::uint64_t m_version{};
    std::size_t m_first{};
    /*! @brief One past the last layer. */
    std::size_t m_end{};

    [[nodiscard]] auto operator==(const layer_range&) const noexcept -> bool = default;
};

/**
 * @brief Chooses the order that makes a runner give up layers which may have been loaded from corrupt pieces: it keeps
 * what an order for the same version names. The runner never holds a complete version afterwards.
 * @param version Version that the runner holds.
 * @param layers Layers of the model.
 * @param pieces Pieces of the version.
 * @param doubtful Indices of the pieces that may have been corrupt.
 * @return One layer of the version before; of the first version, which has none before it, a layer without a doubtful
 * piece. Empty if there is none, or if the model has a single layer.
 */
[[nodiscard]] auto choose_discard(std::uint64_t version, std::size_t layers, std::size_t pieces,
                                  std::span<const std::size_t> doubtful) -> std::optional<layer_range>;

} // namespace rhubarbwharf::loader
