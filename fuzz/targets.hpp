#pragma once

#include <span>
#include <string_view>

namespace rhubarbwharf::fuzz {

/*! @brief A parser of untrusted bytes; accepts any input and terminates the process if an invariant is violated. */
struct target {
    std::string_view m_name{};
    void (*m_run)(std::string_view){};
};

/*! @brief Returns all targets; each name is also the directory of its corpus under fuzz/corpus. */
[[nodiscard]] auto targets() noexcept -> std::span<const target>;

} // namespace rhubarbwharf::fuzz
