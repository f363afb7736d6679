#pragma once

#include <compare>
#include <cstdint>

namespace rhubarbwharf::fleet {

/*! @brief Version of an entry in the platform's store. Revisions are unique and increasing only within one era; a store
 * that is restored from a copy begins a new one. */
struct store_version {
    /*! @brief Era of the store; 0 if unknown. */
    std::uint64_t m_era{};
    std::uint64_t m_revision{};

    [[nodiscard]] auto operator<=>(const store_version&) const noexcept -> std::strong_ordering = default;
};

} // namespace rhubarbwharf::fleet
