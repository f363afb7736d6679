#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <unordered_map>
#include <vector>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::agent {

/*! @brief Names one attempt at a request. */
struct attempt_id {
    /*! @brief Hash of the entry's name and incarnation. */
    std::uint64_t m_entry_hash{};
    request_id m_request{};
    std::uint32_t m_attempt{};

    [[nodiscard]] auto operator<=>(const attempt_id&) const noexcept = default;
};

/*! @brief Hashes attempts. */
struct attempt_hash {
    [[nodiscard]] auto operator()(const attempt_id& id) const noexcept -> std::size_t {
        return mix(mix(id.m_entry_hash, id.m_request.value()), id.m_attempt);
    }
};

/*! @brief An attempt that waits for room at the backend server. */
struct waiting_attempt {
    attempt_id m_id{};
    std::uint32_t m_priority{};
    time_point m_deadline{};
    /*! @brief Whether its request was running at a crash. */
    bool m_suspect{};
};

/*! @brief What is known of an attempt that has come once. */
enum class attempt_decision : std::uint8_t { accepted, refused };

/*! @brief Attempts at the backend server, in the queue, and those that came before. */
struct admission {
    std::size_t m_capacity{};
    std::size_t m_queue_limit{};
    /*! @brief Attempts remembered at most. */
    std::size_t m_decision_limit{1U << 16U};
    std::size_t m_running{};
    /*! @brief Suspects among those running: one at most, so that a second crash blames no neighbour twice. */
    std::size_t m_suspects_running{};
    /*! @brief In order of arrival. */
    std::vector<waiting_attempt> m_waiting{};
    std::unordered_map<attempt_id, attempt_decision, attempt_hash> m_decisions{};
    /*! @brief Until when each fate is kept, soonest first. */
    std::deque<std::pair<time_point, attempt_id>> m_decision_expiries{};
};

/*! @brief Longest deadline that an attempt may have; fates are kept for this long. */
inline constexpr duration max_deadline = std::chrono::minutes{10};

/*! @brief What becomes of an attempt. */
struct admission_result {
    enum class kind : std::uint8_t { run, wait, refuse, drop };

    kind m_kind{kind::refuse};
    code m_code{code::ok};
    /*! @brief Whether the refusal is remembered, so that a late copy is refused too. */
    bool m_not_run{};
    duration m_retry_after{};
};

/**
 * @brief Decides on an attempt that has come.
 * @param table The table.
 * @param attempt The attempt.
 * @param gate_code What the gate says of it.
 * @param now The time.
 * @return The verdict; after `run` it counts as running.
 */
[[nodiscard]] auto try_admit(admission& table, const waiting_attempt& attempt, code gate_code, time_point now)
    -> admission_result;

/**
 * @brief Records that an attempt is refused from now on.
 * @param table The table.
 * @param id The attempt.
 * @param now The time.
 * @return Whether it could be recorded; else `not_run` must not be said of it.
 */
[[nodiscard]] auto record_refusal(admission& table, const attempt_id& id, time_point now) -> bool;

/*! @brief Gives back the room of an attempt that ran. @param table The table. @param suspect Whether it was a suspect.
 */
auto release_slot(admission& table, bool suspect) -> void;

/**
 * @brief Takes the most urgent waiting attempt that has room: the highest priority, then the earliest deadline. A
 * suspect has none beside another.
 * @param table The table.
 * @param now The time.
 * @return The attempt, which counts as running; nothing if there is no room or none waits.
 */
[[nodiscard]] auto start_next(admission& table, time_point now) -> std::optional<attempt_id>;

/**
 * @brief Takes an attempt out of the queue.
 * @param table The table.
 * @param id The attempt.
 * @return Whether it was waiting.
 */
auto remove_waiting(admission& table, const attempt_id& id) -> bool;

/**
 * @brief Takes the attempts whose deadline has passed out of the queue, and forgets old fates.
 * @param table The table.
 * @param now The time.
 * @return Those taken out.
 */
[[nodiscard]] auto expire(admission& table, time_point now) -> std::vector<attempt_id>;

/**
 * @brief Empties the queue.
 * @param table The table.
 * @return Those taken out.
 */
[[nodiscard]] auto remove_all_waiting(admission& table) -> std::vector<attempt_id>;

} // namespace rhubarbwharf::agent
