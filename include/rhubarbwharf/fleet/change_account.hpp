#pragma once

#include <cstddef>
#include <cstdint>
#include <set>
#include <span>

#include <rhubarbwharf/fleet/store_version.hpp>

/**
 * @file
 * @brief Finds out whether a watch of the store may have lost a response.
 *
 * A watch that waits is silent, and so is one whose response was lost. The store counts each change of any key with one
 * revision counter. So a revision that no watch has delivered is either a change of keys that none follows, or lost.
 */
namespace rhubarbwharf::fleet {

/*! @brief Revisions that are kept, at most; with more, all count as unaccounted for. */
inline constexpr std::size_t max_kept_revisions = 4096U;

/*! @brief Changes of the store that the watches of one process account for. */
struct change_account {
    /*! @brief Version up to which all changes are accounted for. */
    store_version m_known{};
    /*! @brief Revisions of later changes that a watch has delivered. */
    std::set<std::uint64_t> m_delivered{};
};

/*! @brief Records changes that a watch has delivered. */
auto add_delivered(change_account& value, std::span<const std::uint64_t> revisions) -> void;

/*! @brief Checks whether all changes up to a version of the store were delivered. @return False also in a new era. */
[[nodiscard]] auto accounts_for(change_account& value, store_version told) -> bool;

/*! @brief Records that all watches have been checked, so that all changes up to a version are accounted for. */
auto settle(change_account& value, store_version checked) -> void;

} // namespace rhubarbwharf::fleet
