#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/fleet/member.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Gateways of a region that exchange messages with other regions, so that their number does not grow with the
 * region: several, so that all but one may fail at once without a gap. */
inline constexpr std::size_t representatives_per_region = 4U;

/*! @brief Gateways up to which loaders report to those of all regions: a direct report is the fresher one, but their
 * number grows with the square of the fleet. */
inline constexpr std::size_t max_directly_reported_gateways = 16U;
/*! @brief Gateways from which regions exchange loads; below the former number, as processes may count differently. */
inline constexpr std::size_t min_gateways_exchanging_loads = 12U;

/*! @brief Counts the gateways of all regions, whether they are live or not. */
[[nodiscard]] auto count_gateways(const member_table& table) noexcept -> std::size_t;

/*! @brief Gateways of a data centre that take requests, and the requests per second that they receive together. */
struct data_centre_demand {
    std::string m_data_centre{};
    std::size_t m_gateways{};
    double m_demand_per_s{};
};

/*! @brief What other regions need to know of a region. */
struct region_status {
    std::vector<data_centre_demand> m_data_centres{};
    time_point m_measured_at{};
};

/*! @brief Status of other regions by name. */
using region_table = std::map<std::string, region_status, std::less<>>;

/*! @brief Age from which the status of a region is not used: two missed ones beyond the time after which a silent
 * gateway counts as gone. */
inline constexpr duration region_status_timeout = 2 * heartbeat_timeout;

/**
 * @brief Returns the live gateways of a region that represent it: the first ones by name that are not leaving.
 * @param table The members, including the own process.
 * @return At most `representatives_per_region` members, owned by `table`, in the order of their names.
 */
[[nodiscard]] auto representatives(const member_table& table, std::string_view region, time_point now)
    -> std::vector<const member*>;

/*! @brief Finds the gateway that reads the version of the platform's store for all regions: the first one, by region
 * and name, that says it reaches the store. Gateways with different tables may find different ones.
 * @return Null if none is known. */
[[nodiscard]] auto store_version_reader(const member_table& table, time_point now) -> const member*;

/*! @brief Tells whether a gateway represents its region. @return True also if `table` lacks the gateway. */
[[nodiscard]] auto is_representative(const member_table& table, const member& self, time_point now) -> bool;

/**
 * @brief Returns the gateways of other regions that a representative sends its heartbeat to: the representatives of
 * each region, and one more gateway of any, drawn at random. If all representatives of a region were replaced at once,
 * the draws reach one of the others.
 * @param random Random bits.
 * @return Names.
 */
[[nodiscard]] auto remote_heartbeat_targets(const member_table& table, const member& self, std::uint64_t random,
                                            time_point now) -> std::vector<std::string>;

/*! @brief Gateway of another region that was heard. */
struct heard_gateway {
    std::string m_instance{};
    std::uint64_t m_incarnation{};
    time_point m_last_heard{};
};

/*! @brief Lists the live gateways of other regions that this process itself has heard, for its own region. */
[[nodiscard]] auto list_heard(const member_table& table, std::string_view own_region, time_point now)
    -> std::vector<heard_gateway>;

/*! @brief Merges what a gateway of the own region has heard. @return False if the incarnation is not known. */
[[nodiscard]] auto merge_heard(member_table& table, const heard_gateway& heard) -> bool;

/*! @brief Sums up the gateways of a region that are live and take requests. */
[[nodiscard]] auto measure_region(const member_table& table, std::string_view region, time_point now) -> region_status;

/*! @brief Merges the status of another region. The one that was measured last is kept. */
auto merge_region(region_table& table, std::string_view region, region_status status) -> void;

/**
 * @brief Lists the demand of all regions: each gateway of the own one by itself, the others by their status, or by the
 * gateways that were heard if a region has sent none.
 * @param table The members, including the own process.
 * @param regions Status of other regions.
 * @param own_region Region of the own process.
 */
[[nodiscard]] auto list_demand(const member_table& table, const region_table& regions, std::string_view own_region,
                               time_point now) -> std::vector<data_centre_demand>;

/**
 * @brief Lists the gateways among which the limit of a backend server is divided. All gateways must list the same ones:
 * each hears all of its region, and the representatives of the others.
 * @param region Region of the server.
 * @param is_only_region Whether its service has servers in that region only, so that callers of other regions depend on
 * them too.
 * @return The names of the gateways of the region; of the representatives of all regions if it is the only one, or has
 * no live gateway.
 */
[[nodiscard]] auto list_limit_gateways(const member_table& table, std::string_view region, bool is_only_region,
                                       time_point now) -> std::vector<std::string_view>;

} // namespace rhubarbwharf::fleet
