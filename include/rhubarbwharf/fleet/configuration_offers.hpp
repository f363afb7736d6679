#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/fleet/member.hpp>

/**
 * @file
 * @brief Decides from which gateway a process gets a newer configuration.
 *
 * A configuration may be as large as a value of the store (1 MiB), and all processes of a region need it at once. So
 * each process gets it once, from one gateway at a time, and as a rule from one of its own region. The gateways of a
 * region relay it along a tree, so that no link carries more than a few copies.
 */
namespace rhubarbwharf::fleet {

/*! @brief Gateways to which a gateway relays a configuration: a MiB that does not shrink takes 0.8 s on the slowest
 * link of a gateway (40 Mbit/s), and three levels reach 170 gateways. */
inline constexpr std::size_t relay_fanout = 4U;

/*! @brief Time for which a process waits for the gateway that relays to it before it asks another one of its region:
 * the interval of the heartbeats. */
inline constexpr duration regional_offer_delay = std::chrono::milliseconds{300};

/*! @brief Time for which a process waits for a gateway of its own region before it asks one of another region, across a
 * link that the region shares. The watchers of the region normally have the version by then. */
inline constexpr duration remote_offer_delay = std::chrono::milliseconds{900};

/*! @brief Time for which a gateway that gave no answer is not asked again. */
inline constexpr duration offer_retry_delay = std::chrono::seconds{1};

/*! @brief How a process learned that a gateway has a newer configuration; the first is preferred. */
enum class offer_source : std::uint8_t {
    /*! @brief The gateway relays configurations to this process. */
    relay,
    /*! @brief Heartbeat of a gateway of the own region. */
    region,
    /*! @brief Heartbeat of a gateway of another region. */
    other_region,
};

/*! @brief Configuration that a gateway has. */
struct configuration_offer {
    std::uint64_t m_version{};
    offer_source m_source{};
    /*! @brief When it was first told of this version. */
    time_point m_told_at{};
    /*! @brief When the gateway last failed to give it. */
    std::optional<time_point> m_failed_at{};
    /*! @brief Whether the gateway has refused to give it by itself, as a gateway of a former form does; it is part of
     * the state that such a gateway sends. Ends with its next version. */
    bool m_refused{false};
};

/*! @brief Gateways that have a newer configuration than this process. */
struct configuration_offers {
    std::map<std::string, configuration_offer, std::less<>> m_by_gateway{};
    /*! @brief When the first of them told so; empty if there is none. */
    std::optional<time_point> m_since{};
};

/*! @brief Notes that a gateway has a version.
 * @param known Version that this process has; 0 for none. An offer that is not newer is discarded. */
auto note_offer(configuration_offers& offers, std::string_view gateway, std::uint64_t version, offer_source source,
                std::uint64_t known, time_point now) -> void;

/*! @brief Notes that a gateway did not give its configuration. @param refused Whether it answered that it does not. */
auto note_failed_offer(configuration_offers& offers, std::string_view gateway, bool refused, time_point now) -> void;

/*! @brief Discards the offers that are not newer than the version that this process has. */
auto discard_offers(configuration_offers& offers, std::uint64_t known) -> void;

/**
 * @brief Chooses the gateway to ask: one that relays to this process, otherwise one of the region, otherwise any.
 * Without a configuration this process does not wait for the gateway that relays to it.
 * @param offers Offers that are newer than `known`.
 * @param known Version that this process has; 0 for none.
 * @param random Random bits, so that gateways of the same rank share the requests.
 * @return Name of the gateway; none if there is none yet.
 */
[[nodiscard]] auto choose_offer(const configuration_offers& offers, std::uint64_t known, std::uint64_t random,
                                time_point now) -> std::optional<std::string>;

/*! @brief Longest time for which a process that was told of a newer configuration counts its own as outdated: that of a
 * request which keeps arriving, and two more. What nobody gives by then may not exist. */
inline constexpr duration max_outdated_time = std::chrono::seconds{10};

/*! @brief Checks whether a newer configuration is known to exist that this process does not have yet. Then a route or a
 * key that it does not know may have been added. */
[[nodiscard]] auto is_outdated(const configuration_offers& offers, std::uint64_t known, time_point now) noexcept
    -> bool;

/*! @brief Checks whether a gateway has refused to give its configuration by itself. */
[[nodiscard]] auto has_refused(const configuration_offers& offers, std::string_view gateway) -> bool;

/**
 * @brief Lists the gateways to which a gateway relays a configuration. The live gateways of a region form a tree by
 * their names, whose roots are the usual watchers of the store.
 * @param table The members, including the own process.
 * @param self The own process. @param is_watcher Whether it reads the store; if it is no root, it also relays to these.
 */
[[nodiscard]] auto list_relay_targets(const member_table& table, const member& self, bool is_watcher, time_point now)
    -> std::vector<std::string>;

} // namespace rhubarbwharf::fleet
