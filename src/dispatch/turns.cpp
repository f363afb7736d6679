#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/dispatch/turns.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr double saved_turns_per_limit = 1.5;
constexpr double min_saved_turns = 3.0;
/*! @brief Time whose turns may be saved by a gateway that has several a second. */
constexpr double max_saving_s = 0.25;

/*! @brief Turns that each holder could have used without a response, after which others hold the limit. */
constexpr double turns_per_rotation = 4.0;
constexpr std::chrono::duration<double> min_rotation_time = std::chrono::seconds{5};

/*! @brief Counts how often the holders have changed since the last response of the server. */
[[nodiscard]] auto count_rotations(const double per_s, const std::size_t holders, const duration age) noexcept
    -> std::uint64_t {
    const std::chrono::duration<double> used{turns_per_rotation * static_cast<double>(holders) / per_s};
    return static_cast<std::uint64_t>(std::max(0.0, age / std::max(used, min_rotation_time)));
}

[[nodiscard]] auto turns_at(const turn_share& share, const time_point now) noexcept -> double {
    const auto passed_s = std::chrono::duration<double>{now - share.m_updated}.count();
    const auto most = std::max(1.0, share.m_per_s * max_saving_s);
    return std::min(most, share.m_turns + std::max(0.0, passed_s) * share.m_per_s);
}

} // namespace

auto saved_turns_of_limit(const double per_s) noexcept -> double {
    return saved_turns_per_limit * per_s + min_saved_turns;
}

auto saved_turns_of_cold_server(const double per_s, const double tolerated) noexcept -> double {
    constexpr double saved_fraction = 0.7;
    return std::max(1.0, saved_fraction * (tolerated - per_s));
}

auto count_holders(const double saved_turns, const std::size_t gateways) noexcept -> std::size_t {
    return static_cast<std::size_t>(std::clamp(saved_turns, 0.0, static_cast<double>(gateways)));
}

auto divide_limit(const std::span<const std::string_view> gateways, const std::string_view self,
                  const named_limit& limit) -> double {
    if (std::ranges::find(gateways, self) == gateways.end()) {
        return 0.0;
    }
    const auto divided = std::max(limit.m_per_s, min_divided_limit_per_s);
    const auto holders = count_holders(limit.m_saved_turns.value_or(saved_turns_of_limit(divided)), gateways.size());
    const auto key = mix(stable_hash(limit.m_server), count_rotations(divided, holders, limit.m_age));
    const auto own_weight = mix(stable_hash(self), key);
    const auto ahead = std::ranges::count_if(gateways, [&](const std::string_view each) {
        const auto weight = mix(stable_hash(each), key);
        return weight > own_weight || (weight == own_weight && each < self);
    });
    return static_cast<std::size_t>(ahead) < holders ? divided / static_cast<double>(holders) : 0.0;
}

auto set_rate(turn_share& share, const double per_s, const time_point now) noexcept -> void {
    share.m_turns = per_s > 0.0 && share.m_per_s > 0.0 ? turns_at(share, now) : 0.0;
    share.m_per_s = per_s;
    share.m_updated = now;
}

auto grant_first_turn(turn_share& share) noexcept -> void {
    share.m_turns = share.m_per_s > 0.0 ? 1.0 : 0.0;
}

auto has_turn(const turn_share& share, const time_point now) noexcept -> bool {
    return turns_at(share, now) >= 1.0;
}

auto take_turn(turn_share& share, const time_point now) noexcept -> void {
    share.m_turns = std::max(0.0, turns_at(share, now) - 1.0);
    share.m_updated = now;
}

auto time_until_turn(const turn_share& share, const time_point now) noexcept -> duration {
    const auto missing = 1.0 - turns_at(share, now);
    if (missing <= 0.0) {
        return duration::zero();
    }
    const auto seconds = missing / share.m_per_s;
    return share.m_per_s > 0.0 ? std::chrono::ceil<duration>(std::chrono::duration<double>{seconds}) : duration::max();
}

} // namespace rhubarbwharf::dispatch
