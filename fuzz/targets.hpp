#pragma once

#include <span>
#include <string_view>

namespace rhubarbwharf::fuzz {

/*! @brief A reader of foreign bytes, driven with any input; it ends the process if an invariant breaks. */
struct target {
    std::string_view m_name{};
    void (*m_run)(std::string_view){};
};

/*! @brief Returns all targets. @return The table; names are those of the folders under fuzz/corpus. */
[[nodiscard]] auto targets() noexcept -> std::span<const target>;

} // namespace rhubarbwharf::fuzz
