#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/relay.hpp>
#include <rhubarbwharf/net/http.hpp>

#include <platform/decode.hpp>

namespace rhubarbwharf::gateway {

struct daemon;

/*! @brief Name of one part of a version; the manifest has `fleet::manifest_index`. */
struct part_key {
    std::string m_model{};
    std::uint64_t m_version{};
    std::size_t m_index{};
};

/*! @brief One part that this gateway relays, and who waits for it. */
struct kept_part {
    std::string m_bytes{};
    std::vector<std::shared_ptr<net::responder>> m_waiting{};
    /*! @brief Gateways that it was asked through. */
    unsigned m_hops{};
    bool m_asked{false};
    /*! @brief Calls to other gateways without an answer, one after the other. */
    unsigned m_unanswered{};
};

/*! @brief One version that is relayed, in memory and for a short while. */
struct kept_version {
    /*! @brief By index, the manifest's included. */
    std::map<std::size_t, kept_part> m_parts{};
    std::optional<adapter::manifest> m_manifest{};
    /*! @brief Pieces that did not have their digest since the manifest came. */
    unsigned m_spoilt{};
    /*! @brief Whether its pieces do not fit into this gateway's memory; the loaders swap them, then. */
    bool m_too_large{false};
    time_point m_used{};
};

/*! @brief Weights that pass through this gateway on their way from the origin to the loaders. */
struct weights_relay {
    /*! @brief By model and version. */
    std::map<std::pair<std::string, std::uint64_t>, kept_version> m_versions{};
    /*! @brief Calls to the origin under way. */
    unsigned m_at_origin{};
    /*! @brief Parts that wait for a call to the origin. */
    std::deque<part_key> m_line{};
};

/*! @brief Gives a part to a loader or to another gateway, and fetches it first if need be. @param self The gateway.
 * @param incoming The request. @param answer Its answer. */
auto on_weights(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) -> void;

/*! @brief Forgets versions that nobody has asked for lately. @param self The gateway. @param now The time. */
auto sweep_weights(daemon& self, time_point now) -> void;

} // namespace rhubarbwharf::gateway
