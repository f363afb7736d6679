#pragma once

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/fleet/store_version.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Whether the operators want a data centre's backend servers to get no requests. */
struct evacuation {
    /*! @brief Version of the write, or of the removal, of the operators' key. */
    store_version m_version{};
    bool m_active{false};
    /*! @brief When this process learned of it. */
    time_point m_learned_at{};
};

/*! @brief Evacuations by data centre, those that have ended included; of each data centre the newest. */
using evacuation_table = std::map<std::string, evacuation, std::less<>>;

/*! @brief Merges what the store or a peer says of a data centre; the newer version counts, in any order of arrival.
 * @return Whether this begins or ends the evacuation as this process knows it. */
auto merge_evacuation(evacuation_table& table, std::string_view data_centre, const evacuation& value) -> bool;

/*! @brief Tells whether the backend servers of a data centre get no requests. */
[[nodiscard]] auto is_evacuated(const evacuation_table& table, std::string_view data_centre) noexcept -> bool;

/*! @brief Lists the data centres whose known evacuation a complete listing lacks although it is not older.
 * @param listed Data centres in the listing. @param version Lower bound of the version of the listing. */
[[nodiscard]] auto ended_evacuations(const evacuation_table& table, const std::set<std::string, std::less<>>& listed,
                                     store_version version) -> std::vector<std::string>;

} // namespace rhubarbwharf::fleet
