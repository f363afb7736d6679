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

/*! @brief Identifies one attempt at a request. */
struct attempt_id {
    /*! @brief Hash of the entry's name and incarnation. */
    std::uint64_t m_entry_hash{};
    request_id m_request{};
    std::uint32_t m_attempt{};

    [[nodiscard]] auto operator<=>(const attempt_id&) const noexcept = default;
};

/*! @brief Hash function for attempt identifiers. */
struct attempt_hash {
    [[nodiscard]] auto operator()(const attempt_id& id) const noexcept -> std::size_t {
        return mix(mix(id.m_entry_hash, id.m_request.value()), id.m_attempt);
    }
};

/*! @brief An attempt that requests a slot at the backend server or waits for one in the queue. */
struct waiting_attempt {
    attempt_id m_id{};
    std::uint32_t m_priority{};
    time_point m_deadline{};
    /*! @brief Whether its request was running when a backend server crashed. */
    bool m_suspect{};
};

/*! @brief Last decision on an attempt; it determines how later copies of the attempt are answered. */
enum class admission_decision : std::uint8_t { accepted, refused };

/*! @brief Admission control of one backend server: slots, queue and earlier decisions. */
struct admission {
    /*! @brief Maximum number of attempts that run at the same time. */
    std::size_t m_capacity{};
    /*! @brief Maximum number of attempts in the queue. */
    std::size_t m_queue_limit{};
    /*! @brief Maximum number of decisions kept. */
    std::size_t m_decision_limit{1U << 16U};
    std::size_t m_running{};
    /*! @brief Number of running suspects; at most 1, so that a crash is attributed to one suspect only. */
    std::size_t m_suspects_running{};
    /*! @brief The queue, in order of arrival. */
    std::vector<waiting_attempt> m_waiting{};
    std::unordered_map<attempt_id, admission_decision, attempt_hash> m_decisions{};
    /*! @brief Expiry times of the decisions, earliest first. */
    std::deque<std::pair<time_point, attempt_id>> m_decision_expiries{};
};

/*! @brief Maximum time from the arrival of an attempt to its deadline; decisions are kept for the same time. */
inline constexpr duration max_deadline = std::chrono::minutes{10};

/*! @brief Result of an admission request. */
struct admission_result {
    /*! @brief `drop` ignores the attempt, as an earlier copy of it was accepted. */
    enum class kind : std::uint8_t { run, wait, refuse, drop };

    kind m_kind{kind::refuse};
    code m_code{code::ok};
    /*! @brief Whether the refusal is recorded, which guarantees that late copies of the attempt are refused as well. */
    bool m_not_run{};
    /*! @brief Time after which a refused caller may retry. */
    duration m_retry_after{};
};

/**
 * @brief Decides whether an attempt runs, waits or is refused.
 * @param gate_code Result of the gate's check: `ok`, or the code to refuse the attempt with.
 * @return The result; with `run` the attempt holds a slot, to be released by `release_slot`.
 */
[[nodiscard]] auto try_admit(admission& state, const waiting_attempt& attempt, code gate_code, time_point now)
    -> admission_result;

/**
 * @brief Records that an attempt is refused, so that late copies of it are refused as well.
 * @return False if the decision limit is reached; the attempt must not be reported as `not_run` then.
 */
[[nodiscard]] auto record_refusal(admission& state, const attempt_id& id, time_point now) -> bool;

/**
 * @brief Releases the slot of an attempt that was running.
 * @param suspect Whether the attempt was a suspect.
 */
auto release_slot(admission& state, bool suspect) -> void;

/**
 * @brief Removes the most urgent attempt that may start from the queue: highest priority, then earliest deadline. A
 * suspect may not start while another suspect is running.
 * @return The attempt, which holds a slot now; nothing if no attempt may start or if the deadline of the most urgent
 * one has passed.
 */
[[nodiscard]] auto start_next(admission& state, time_point now) -> std::optional<attempt_id>;

/**
 * @brief Removes an attempt from the queue.
 * @return Whether the attempt was in the queue.
 */
auto remove_waiting(admission& state, const attempt_id& id) -> bool;

/**
 * @brief Removes attempts whose deadline has passed from the queue, and discards expired decisions.
 * @return The attempts that were removed from the queue.
 */
[[nodiscard]] auto expire(admission& state, time_point now) -> std::vector<attempt_id>;

/**
 * @brief Empties the queue.
 * @return The attempts that were in the queue.
 */
[[nodiscard]] auto remove_all_waiting(admission& state) -> std::vector<attempt_id>;

} // namespace rhubarbwharf::agent
