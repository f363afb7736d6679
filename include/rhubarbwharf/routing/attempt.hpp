#pragma once

#include <cstdint>

#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/routing/fwd.hpp>

namespace rhubarbwharf::routing {

/*! @brief Retries are paid from a budget that successes earn. */
struct retry_budget {
    double m_tokens{10.0};
    /*! @brief Tokens that one success earns. */
    double m_ratio{0.1};
    double m_max_tokens{20.0};
};

/*! @brief Earns for one success. @param budget The budget. */
auto deposit(retry_budget& budget) noexcept -> void;

/*! @brief Pays for one retry. @param budget The budget. @return Whether there was enough. */
[[nodiscard]] auto try_withdraw(retry_budget& budget) noexcept -> bool;

/*! @brief Progress of one request over its attempts. */
struct flight {
    bool m_non_idempotent{false};
    bool m_stream{false};
    /*! @brief Whether the head of the answer has gone to the caller. */
    bool m_head_sent{false};
    /*! @brief Whether any attempt so far may have run. */
    bool m_may_have_run{false};
    /*! @brief Attempts made, from 1. */
    std::uint32_t m_attempts{};
    time_point m_deadline{};
};

/*! @brief How one attempt ended. */
struct attempt_end {
    code m_code{code::ok};
    /*! @brief Whether it surely did not run and never will under this attempt. */
    bool m_not_run{false};
    duration m_retry_after{};
};

/*! @brief What to do with a request after an attempt. */
enum class step : std::uint8_t {
    /*! @brief The answer is whole. */
    finish,
    /*! @brief Answer with a refusal, or cut the stream. */
    refuse,
    /*! @brief Try again from the start. */
    retry,
    /*! @brief Go on where the stream was cut, on the same version. */
    resume,
};

/*! @brief The step and what a refusal says. */
struct verdict {
    step m_step{step::refuse};
    code m_code{code::ok};
    outcome m_outcome{outcome::unknown};
    duration m_retry_after{};
};

/*! @brief Limits of attempts. */
struct attempt_limits {
    std::uint32_t m_max_attempts{3};
};

/*! @brief Time to come back that goes with refusals which name none. */
inline constexpr duration retry_after_default = std::chrono::seconds{1};

/**
 * @brief Decides what follows an attempt. A non-idempotent call is tried again only if it surely did not run;
 * a refusal says `not_run` only if no attempt can have run. A stream that the caller has begun to get is resumed
 * whatever the budget holds, within the limit of attempts.
 * @param state The request; `m_maybe_ran` is brought up to date.
 * @param end How the attempt ended.
 * @param budget Pays for a retry that may cost a backend server work.
 * @param now The time.
 * @param limits The limits.
 * @return What to do.
 */
[[nodiscard]] auto after(flight& state, const attempt_end& end, retry_budget& budget, time_point now,
                         const attempt_limits& limits) -> verdict;

/**
 * @brief Refuses a request of which no attempt is in progress, or that is given up on while one is.
 * @param state The request.
 * @param why The result code.
 * @param attempt_in_progress Whether an attempt may still run.
 * @param retry_after When to come back.
 * @return The refusal.
 */
[[nodiscard]] auto give_up(const flight& state, code reason, bool attempt_in_progress, duration retry_after) noexcept
    -> verdict;

} // namespace rhubarbwharf::routing
