#include <algorithm>
#include <map>
#include <utility>

#include <rhubarbwharf/net/held_bytes.hpp>

namespace rhubarbwharf::net {

auto find_excess(const std::span<const held_response> held, const std::size_t limit) -> std::optional<std::size_t> {
    std::map<std::string_view, std::size_t> by_server{};
    std::size_t total{};
    for (const auto& each : held) {
        by_server[each.m_server] += each.m_bytes;
        total += each.m_bytes;
    }
    if (total <= limit) {
        return std::nullopt;
    }
    const auto largest = std::ranges::max_element(held, {}, [&by_server](const held_response& each) {
        return std::pair{by_server[each.m_server], each.m_bytes};
    });
    return static_cast<std::size_t>(largest - held.begin());
}

} // namespace rhubarbwharf::net
