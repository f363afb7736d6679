#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief A process of the system, as it registered itself. */
struct member {
    std::string m_instance{};
    std::string m_region{};
    std::string m_data_centre{};
    /*! @brief Draws anew with each start. */
    std::uint64_t m_incarnation{};
    /*! @brief Where callers connect; port 0 for a loader. */
    net::endpoint m_callers{};
    /*! @brief Where messages between processes arrive. */
    net::endpoint m_bus{};
    /*! @brief Where weight pieces are served; port 0 for a gateway that relays none. */
    net::endpoint m_bulk{};
    /*! @brief Service whose weights a loader holds. */
    std::string m_service{};

    [[nodiscard]] auto is_gateway() const noexcept -> bool { return m_callers.m_port != 0U; }
};

/*! @brief Signs of life of a member. */
struct sighting {
    member m_member{};
    /*! @brief Whether the platform's store lists it now. */
    bool m_listed{false};
    /*! @brief When it was last heard itself. */
    time_point m_heard{};
    bool m_ready{true};
    bool m_leaving{false};
    /*! @brief Whether the platform's store answers it, by its own word. */
    bool m_reaches_store{true};
    /*! @brief Digest of the backend servers that it knows, by its last word. */
    std::uint64_t m_servers{};
    /*! @brief Requests a second that reach it, by its own word; gateways only. */
    double m_demand{};
};

/*! @brief Members by instance name. */
using member_table = std::map<std::string, sighting, std::less<>>;

/*! @brief Time without a word after which a gateway is no longer named to callers: five missed heartbeats. */
inline constexpr duration silent_time = std::chrono::milliseconds{1'500};
/*! @brief Time after which a silent member that is not listed is forgotten. */
inline constexpr duration member_retention = std::chrono::seconds{20};

/**
 * @brief Lists the gateways that callers may be sent to: ready and heard, those of the caller's data centre first,
 * then those of its region. If none is heard, all that are listed and not leaving.
 * @param table The members, own process included.
 * @param region The caller's region.
 * @param data_centre The caller's data centre.
 * @param now The time.
 * @return Addresses, nearest first.
 */
[[nodiscard]] auto gateways_for(const member_table& table, std::string_view region, std::string_view data_centre,
                                time_point now) -> std::vector<net::endpoint>;

/*! @brief Gateways of a region that watch the store for all of it, so that one may fail unnoticed for a while. */
inline constexpr std::size_t watchers_per_region = 2;

/**
 * @brief Tells whether a gateway is one of those that watch the store and pass on what changes: the first of its region
 * by name, those that the store answers before the others.
 * @param table The members, the gateway included.
 * @param self The gateway.
 * @param now The time.
 * @return Whether it is.
 */
[[nodiscard]] auto is_watcher(const member_table& table, const member& self, time_point now) -> bool;

/*! @brief Forgets members that are neither listed nor heard. @param table The members. @param now The time.
 * @return Those forgotten. */
auto sweep(member_table& table, time_point now) -> std::vector<std::string>;

} // namespace rhubarbwharf::fleet
