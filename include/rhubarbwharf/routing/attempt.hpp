#pragma once

#include <cstdint>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Token bucket that successful requests fill and retries drain. */
struct retry_budget {
    double m_tokens{10.0};
    /*! @brief Tokens that one success adds. */
    double m_tokens_per_success{0.1};
    double m_max_tokens{20.0};
};

/*! @brief Adds the tokens of one success, up to the maximum. */
auto deposit(retry_budget& budget) noexcept -> void;

/*! @brief Takes one token for a retry. @return False if less than one token is left. */
[[nodiscard]] auto try_withdraw(retry_budget& budget) noexcept -> bool;

/*! @brief Progress of one request over its attempts. */
struct request_progress {
    bool m_non_idempotent{false};
    bool m_stream{false};
    /*! @brief Whether the head of the answer was sent to the caller. */
    bool m_head_sent{false};
    /*! @brief Whether any attempt so far may have run. */
    bool m_may_have_run{false};
    /*! @brief Attempts made, including the current one; counted from 1. */
    std::uint32_t m_attempts{};
    time_point m_deadline{};
};

/*! @brief Result of one attempt. */
struct attempt_result {
    code m_code{code::ok};
    /*! @brief Whether the attempt certainly did not run and never will. */
    bool m_not_run{false};
    /*! @brief Delay that the refusal asks for; zero if it names none. */
    duration m_retry_after{};
};

/*! @brief What to do with a request after an attempt. */
enum class next_step : std::uint8_t {
    /*! @brief The answer is complete. */
    finish,
    /*! @brief Answer with a refusal, or abort the stream. */
    refuse,
    /*! @brief Start over with another attempt. */
    retry,
    /*! @brief Continue the stream where it was cut, on the same version. */
    resume,
};

/*! @brief The next step, and the contents of a refusal. */
struct attempt_decision {
    next_step m_step{next_step::refuse};
    code m_code{code::ok};
    outcome m_outcome{outcome::unknown};
    duration m_retry_after{};
};

/*! @brief Limits on the attempts at one request. */
struct attempt_limits {
    std::uint32_t m_max_attempts{3};
};

/*! @brief Delay sent with refusals that name none themselves. */
inline constexpr duration default_retry_after = std::chrono::seconds{1};

/**
 * @brief Decides what follows an attempt. A non-idempotent call is retried only if it certainly did not run; a refusal
 * says `not_run` only if no attempt can have run. A stream of which the caller has received a part is resumed
 * regardless of the budget, within the limit of attempts.
 * @param state The request; `m_may_have_run` is updated.
 * @param budget Charged for a retry that may cost a backend server work; credited on success.
 */
[[nodiscard]] auto decide_next_step(request_progress& state, const attempt_result& end, retry_budget& budget,
                                    time_point now, const attempt_limits& limits) -> attempt_decision;

/**
 * @brief Makes the refusal of a request without an attempt in progress, or of one abandoned during an attempt. If a
 * non-idempotent call may have run, the refusal says `outcome_unknown` without a delay, unless `reason` is an execution
 * code (`key_missing` to `in_progress`).
 * @param attempt_in_progress Whether an attempt may still run.
 * @param retry_after Delay after which the caller may retry.
 */
[[nodiscard]] auto make_refusal(const request_progress& state, code reason, bool attempt_in_progress,
                                duration retry_after) noexcept -> attempt_decision;

} // namespace rhubarbwharf::routing
