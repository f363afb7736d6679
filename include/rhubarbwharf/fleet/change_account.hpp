#pragma once

#include <cstdint>
#include <span>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/store_version.hpp>

/**
 * @file
 * @brief Finds out without a call of its own whether a watch of the store may have lost a response.
 *
 * A watch that waits is silent, and so is one whose response was lost. The store counts each change of any key with the
 * same revision counter, and the backend servers write all the time. So the responses to the watch of their entries
 * tell whether the revisions since the last one are all changes of such entries; if not, another watch had one to
 * deliver.
 */
namespace rhubarbwharf::fleet {

/*! @brief Changes of the store that one watch accounts for. */
struct change_account {
    /*! @brief Version of the last response. */
    store_version m_version{};
    time_point m_at{};
    /*! @brief Version up to which another watch may have missed a change, as not all revisions were accounted for. */
    store_version m_unaccounted{};
};

/**
 * @brief Accounts for a response to a watch.
 * @param answered Version of the store that the response states.
 * @param revisions Revisions of the changes in the response.
 * @return Whether it leaves a revision unaccounted for.
 */
auto account(change_account& value, store_version answered, std::span<const std::uint64_t> revisions, time_point now)
    -> bool;

/**
 * @brief Checks whether another watch, which waits, may have missed a change.
 * @param followed Version up to which that watch knows all changes of its keys.
 * @param max_age Age of the last response from which it tells nothing.
 */
[[nodiscard]] auto may_have_missed(const change_account& value, store_version followed, time_point now,
                                   duration max_age) noexcept -> bool;

} // namespace rhubarbwharf::fleet
