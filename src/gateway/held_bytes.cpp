#include <algorithm>
#include <numeric>

#include <gateway/held_bytes.hpp>

namespace rhubarbwharf::gateway {

auto find_excess(const std::span<const std::size_t> held, const std::size_t limit) noexcept
    -> std::optional<std::size_t> {
    if (std::accumulate(held.begin(), held.end(), std::size_t{}) <= limit) {
        return std::nullopt;
    }
    return static_cast<std::size_t>(std::ranges::max_element(held) - held.begin());
}

} // namespace rhubarbwharf::gateway
