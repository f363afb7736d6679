#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

namespace rhubarbwharf::loader {

/*! @brief How the call of a load order ended. */
enum class order_end : std::uint8_t {
    /*! @brief The runner has begun the load, or holds the version already. */
    accepted,
    /*! @brief The runner refused the order, or no byte of it was sent. */
    refused,
    /*! @brief No answer came; the runner may still accept the order. */
    unanswered,
};

/*! @brief Load orders of one model that the runner may still accept. It loads what is staged when it accepts one, so no
 * other version's piece may be staged before that. */
struct open_orders {
    /*! @brief Start of the runner's incarnation that they were sent to, Unix ms. */
    std::uint64_t m_started_ms{};
    /*! @brief Largest number of accepted orders that one of them expects. */
    std::uint64_t m_expected_orders{};
    unsigned m_count{};
    /*! @brief Reports received since an order was last sent or remained unanswered. */
    unsigned m_reports{};
    /*! @brief Whether an earlier process of this loader may have sent them, for a version that is not known yet. */
    bool m_is_inherited{false};
};

/*! @brief Reports, each sent by a runner that has not accepted an order, after which the order counts as lost: 6 s at
 * the interval of reports, several times as long as a healthy runner is silent. */
inline constexpr unsigned reports_until_order_lost = 40U;

/*! @brief Checks whether the runner may still accept an order. */
[[nodiscard]] auto may_be_accepted(const open_orders& orders) noexcept -> bool;

/*! @brief Adds an order. @param started_ms Incarnation of the runner. @param expected_orders Number of accepted orders
 * that it expects. */
auto record_order(open_orders& orders, std::uint64_t started_ms, std::uint64_t expected_orders) noexcept -> void;

/*! @brief Assumes that an earlier process of this loader sent an order that the runner has not accepted. Called when
 * the first report arrives. */
auto inherit_orders(open_orders& orders, std::uint64_t started_ms, std::uint64_t accepted_orders) noexcept -> void;

/*! @brief Records how the call of an order to an incarnation of the runner ended. An accepted order changes the number
 * that the others expect, so that they have no effect. */
auto record_order_end(open_orders& orders, std::uint64_t started_ms, order_end end) noexcept -> void;

/*! @brief Records a report of the runner. @return Whether it shows that no order can be accepted any more that could
 * before: the runner has restarted, has accepted an order, or has not received them. */
auto record_order_report(open_orders& orders, std::uint64_t started_ms, std::uint64_t accepted_orders) noexcept -> bool;

/*! @brief Staged pieces that a process finds when it starts, compared with the wanted version and the one before it. */
struct staged_evidence {
    /*! @brief Pieces of a version. */
    std::size_t m_piece_count{};
    std::size_t m_staged{};
    /*! @brief Staged pieces that belong to the wanted version only; to both while the previous one is not known. */
    std::size_t m_wanted{};
    /*! @brief Staged pieces that belong to the previous version only; none while its manifest is not known. */
    std::optional<std::size_t> m_previous{};
    /*! @brief Staged pieces that belong to both versions, as far as that is known. */
    std::size_t m_shared{};
    std::uint64_t m_wanted_version{};
    /*! @brief Version that the runner holds completely; 0 for none. */
    std::uint64_t m_held_version{};
};

/*! @brief What the staged pieces show of the orders of an earlier process. */
enum class inherited_order : std::uint8_t {
    /*! @brief No order of a version that the runner does not hold can be open. */
    none,
    /*! @brief An order for the wanted version may be open. */
    wanted_version,
    /*! @brief An order for the version before the wanted one may be open. */
    previous_version,
    /*! @brief An order may be open for a version that can't be told; nothing may be staged. */
    unknown,
};

/*! @brief Tells from the staged pieces which version an earlier process may have ordered. They outlive it, and show it
 * because an order is sent only once all pieces of its version are staged, and no piece of another version is staged
 * while the order may be accepted. Up to a quarter of the pieces may have turned corrupt since; if fewer belong to a
 * version, its pieces were still being staged when the process ended. */
[[nodiscard]] auto judge_inherited_order(const staged_evidence& staged) noexcept -> inherited_order;

} // namespace rhubarbwharf::loader
