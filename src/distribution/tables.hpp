#pragma once

#include <rhubarbwharf/distribution/swarm.hpp>

namespace rhubarbwharf::distribution::internal {

/*! @brief Most sources that strangers may add, as a multiple of the degree. */
inline constexpr std::size_t strangers_per_degree = 8;

/*! @brief Random numbers that follow from the bits given to one call. */
struct random_bits {
    std::uint64_t m_seed{};
    std::uint64_t m_count{};
};

[[nodiscard]] auto next(random_bits& bits) -> std::uint64_t;

/*! @brief Returns the row of an instance, and adds one if there is none. */
auto row_of(swarm& state, instance_id instance, region_id region, time_point now) -> source_row&;

/*! @brief Finds the row of an instance. @return Null for the origin and for strangers. */
[[nodiscard]] auto find_row(swarm& state, instance_id instance) -> source_row*;

/*! @brief Tells whether a source may be asked now. */
[[nodiscard]] auto is_ready(const source_row& row, time_point now) -> bool;

/*! @brief Adds a fetch to the tables and its command to the vector. */
auto start(swarm& state, std::uint32_t chunk, instance_id source, std::optional<std::uint32_t> link, time_point now,
           std::vector<command>& commands) -> void;

/*! @brief Takes a fetch out of the tables. */
auto remove(swarm& state, std::size_t place) -> void;

auto plan_links(swarm& state, const policy& rules, time_point now, random_bits& bits, std::vector<command>& commands)
    -> void;

} // namespace rhubarbwharf::distribution::internal
