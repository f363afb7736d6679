#pragma once

#include <rhubarbwharf/distribution/swarm.hpp>

namespace rhubarbwharf::distribution::internal {

/*! @brief Maximum number of sources added by unsolicited have-maps, as a multiple of the degree. */
inline constexpr std::size_t unsolicited_sources_per_degree = 8;

/*! @brief Deterministic sequence of random numbers derived from a seed. */
struct random_sequence {
    std::uint64_t m_seed{};
    std::uint64_t m_count{};
};

[[nodiscard]] auto next_random(random_sequence& bits) -> std::uint64_t;

/*! @brief Returns the source entry of an instance; adds one if there is none. */
auto find_or_add_source(swarm& state, instance_id instance, region_id region, time_point now) -> source_state&;

/*! @brief Finds the source entry of an instance. @return Null for the origin and for unknown instances. */
[[nodiscard]] auto find_source(swarm& state, instance_id instance) -> source_state*;

/*! @brief Checks whether chunks may be requested from a source now. */
[[nodiscard]] auto is_ready(const source_state& source, time_point now) -> bool;

/*! @brief Records an active fetch and appends its command. */
auto start_fetch(swarm& state, std::uint32_t chunk, instance_id source, std::optional<std::uint32_t> link,
                 time_point now, std::vector<command>& commands) -> void;

/*! @brief Removes the active fetch at an index and its counts. */
auto remove_fetch(swarm& state, std::size_t index) -> void;

auto plan_links(swarm& state, const policy& rules, time_point now, random_sequence& bits,
                std::vector<command>& commands) -> void;

} // namespace rhubarbwharf::distribution::internal
