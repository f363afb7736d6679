#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/allowed_regions.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief A process of the system, as it registered itself. */
struct member {
    std::string m_instance{};
    std::string m_region{};
    std::string m_data_centre{};
    /*! @brief Random number drawn at each start. */
    std::uint64_t m_incarnation{};
    /*! @brief Address for callers; port 0 for a loader. */
    net::endpoint m_caller_address{};
    /*! @brief Address for messages between processes. */
    net::endpoint m_bus_address{};
    /*! @brief Address that serves weight pieces; port 0 for a gateway that does not relay them. */
    net::endpoint m_bulk_address{};
    /*! @brief Service whose weights a loader holds. */
    std::string m_service{};

    [[nodiscard]] auto is_gateway() const noexcept -> bool { return m_caller_address.m_port != 0U; }
};

/*! @brief Last known state of a member. */
struct member_observation {
    member m_member{};
    /*! @brief Whether the platform's store currently lists it. */
    bool m_listed{false};
    /*! @brief When a message from it was last received, by this process or by a peer that said so. */
    time_point m_last_received{};
    /*! @brief When this process itself last received a heartbeat from it; gateways only. */
    time_point m_last_heard{};
    bool m_ready{true};
    bool m_leaving{false};
    /*! @brief Whether it last reported that the platform's store answers it. */
    bool m_reaches_store{true};
    /*! @brief Fingerprint of the backend servers that it last reported to know. */
    std::uint64_t m_servers_fingerprint{};
    /*! @brief Requests per second that it last reported to receive; gateways only. */
    double m_demand_per_s{};
    /*! @brief Era of the platform's store that it last reported; 0 if it reports none. */
    std::uint64_t m_store_era{};
};

/*! @brief Members by instance name. */
using member_table = std::map<std::string, member_observation, std::less<>>;

/*! @brief Time without a message after which callers are no longer sent to a gateway: five missed heartbeats. */
inline constexpr duration heartbeat_timeout = std::chrono::milliseconds{1'500};
/*! @brief Time without a message after which an unlisted member is evicted. */
inline constexpr duration member_retention = std::chrono::seconds{20};

/**
 * @brief Lists the gateways to which a caller may be sent: live and ready ones, those of the caller's data centre
 * first, then those of its region. If none is live and ready, the listed ones that are not leaving.
 * @param table The members, including the own process.
 * @param region Region of the caller.
 * @param data_centre Data centre of the caller.
 * @param allowed Regions to which the caller's requests may be sent, beside its own.
 * @return Addresses, nearest first; gateways that are farther away than the nearest are listed only to give two.
 */
[[nodiscard]] auto list_gateways(const member_table& table, std::string_view region, std::string_view data_centre,
                                 time_point now, const allowed_regions& allowed = {}) -> std::vector<net::endpoint>;

/*! @brief Gateways per region that watch the store on behalf of the region, so that one of them may fail undetected for
 * a while. */
inline constexpr std::size_t watchers_per_region = 2;

/**
 * @brief Tells whether a gateway is one of those that watch the store and forward its changes: the first ones of its
 * region by name, with those that the store answers before the others.
 * Gateways that report no era count only for others that know none: they cannot follow the store into a new one.
 * @return True also if `table` lacks the gateway.
 */
[[nodiscard]] auto is_watcher(const member_table& table, const member& self, time_point now) -> bool;

/*! @brief Evicts members whose retention has passed: those that are not listed, and loaders of the own region, which
 * report all the time while they live. @param own_region Region of the own process. @return Names of the evicted
 * members. */
auto evict_expired_members(member_table& table, std::string_view own_region, time_point now)
    -> std::vector<std::string>;

} // namespace rhubarbwharf::fleet
