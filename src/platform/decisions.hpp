#pragma once

#include <optional>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/platform/client.hpp>

namespace rhubarbwharf::platform::internal {

/*! @brief Token bucket that may be overdrawn by calls that wait for their turn. */
struct bucket {
    /*! @brief Calls a second; also the most that may be saved up, at least one. */
    double m_rate{};
    double m_tokens{};
    time_point m_filled{};
};

/**
 * @brief Makes a full bucket.
 * @param rate Calls a second.
 * @param now The time.
 * @return The bucket.
 */
[[nodiscard]] auto make_bucket(double rate, time_point now) noexcept -> bucket;

/**
 * @brief Takes one token, now or ahead of time.
 * @param from The bucket; unchanged if nothing is taken.
 * @param now The time.
 * @param most_wait Longest time that the call may be put off.
 * @return How long the call has to wait, or nothing if that is over `most_wait`.
 */
[[nodiscard]] auto reserve(bucket& from, time_point now, duration most_wait) noexcept -> std::optional<duration>;

/**
 * @brief Chooses the time before the next attempt: exponential, spread over its upper half.
 * @param failures Attempts that have failed in a row, from 1.
 * @param random Random bits.
 * @return The time to wait.
 */
[[nodiscard]] auto backoff(unsigned failures, std::uint64_t random) noexcept -> duration;

/*! @brief What a key read back says of a compare-and-swap whose answer was lost. */
enum class settled : std::uint8_t {
    /*! @brief The value stands. */
    written,
    /*! @brief Nothing has changed; the lost call may still come, and the same call may be made again. */
    open,
    /*! @brief Another value was written since; the own one may have stood before it. */
    overtaken,
};

/**
 * @brief Settles a compare-and-swap whose answer was lost.
 * @param found The key as read back, revision 0 if there is none.
 * @param value The value that was to be written.
 * @param expected The revision that was compared.
 * @return What is known.
 */
[[nodiscard]] auto settle(const key_value& found, std::string_view value, revision expected) noexcept -> settled;

} // namespace rhubarbwharf::platform::internal
