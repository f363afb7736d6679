#include <rhubarbwharf/membership/rendezvous.hpp>

#include <utility>

#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::membership {

auto rendezvous_select(const std::span<const std::string_view> candidates, const std::string_view key) noexcept
    -> std::string_view {
    std::pair<std::uint64_t, std::string_view> best{};
    for (const auto name : candidates) {
        const std::pair weighted{mix(stable_hash(name), stable_hash(key)), name};
        if (best.second.empty() || weighted > best) {
            best = weighted;
        }
    }
    return best.second;
}

} // namespace rhubarbwharf::membership
