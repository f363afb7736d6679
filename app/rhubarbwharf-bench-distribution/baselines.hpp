#pragma once

#include "network.hpp"

namespace rhubarbwharf::bench {

/*! @brief What a baseline is worked out from. */
struct load {
    double m_instances{};
    double m_regions{};
    double m_chunks{};
    double m_chunk_bytes{};
    rates m_rates{};
};

/*! @brief Time that no scheme can beat: cut-set bounds of origin, machines and links. @return Seconds. */
[[nodiscard]] auto bound(const load& value) -> double;

/*! @brief Every instance reads all from the origin; fluid sharing. @return Seconds. */
[[nodiscard]] auto origin_only(const load& value) -> double;

/*! @brief One chain, region after region, chunk by chunk. @return Seconds. */
[[nodiscard]] auto chain(const load& value) -> double;

/*! @brief A tree of out-degree 2 in each region, the roots fed from the origin's region. @return Seconds. */
[[nodiscard]] auto tree(const load& value) -> double;

} // namespace rhubarbwharf::bench
