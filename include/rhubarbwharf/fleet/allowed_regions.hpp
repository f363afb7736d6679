#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/fleet/fwd.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Regions in which requests may be served and their bodies may be stored. */
struct allowed_regions {
    /*! @brief Whether only the named regions are allowed; otherwise all are. */
    bool m_is_restricted{false};
    /*! @brief Names, in order and each once; none of them if nothing is allowed. */
    std::vector<std::string> m_names{};

    [[nodiscard]] auto operator==(const allowed_regions&) const noexcept -> bool = default;
};

/*! @brief Restricts to the given names. @param names In any order; may be empty, which allows no region. */
[[nodiscard]] auto restrict_to(std::vector<std::string> names) -> allowed_regions;

/*! @brief Returns the regions that both allow. */
[[nodiscard]] auto intersect(const allowed_regions& left, const allowed_regions& right) -> allowed_regions;

/*! @brief Tells whether a region is allowed. @param region Empty for one that is not known, which is allowed only
 * without a restriction. */
[[nodiscard]] auto allows(const allowed_regions& value, std::string_view region) noexcept -> bool;

/*! @brief Returns a digest by which requests that may use the same regions are grouped; 0 without a restriction. */
[[nodiscard]] auto group_of(const allowed_regions& value) noexcept -> std::uint64_t;

} // namespace rhubarbwharf::fleet
