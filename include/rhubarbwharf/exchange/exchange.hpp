#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include <rhubarbwharf/config/settings.hpp>
#include <rhubarbwharf/core/code.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/exchange/fwd.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/net/metrics.hpp>

namespace rhubarbwharf::wire {
class Envelope;
} // namespace rhubarbwharf::wire

namespace rhubarbwharf::exchange {

namespace internal {
struct node;
} // namespace internal

/*! @brief Another agent that takes part in the exchange. */
struct peer {
    std::string m_instance{};
    std::string m_region{};
    std::string m_group{};
    net::endpoint m_bus{};
    net::endpoint m_bulk{};
    bool m_leaving{};
};

/*! @brief How far the fetch of one version is. */
struct progress {
    std::uint32_t m_held{};
    /*! @brief Zero until the manifest is there. */
    std::uint32_t m_total{};
    bool m_whole{};
    /*! @brief Digest of the whole content, from the manifest. */
    digest m_content{};
    std::uint64_t m_size_bytes{};
};

/*! @brief Fetches versions chunk by chunk, verifies them, and offers verified chunks to peers. */
class exchange {
public:
    /*! @brief Sends an envelope to a peer over the bus. */
    using sender = std::function<void(std::string_view, const wire::Envelope&)>;
    /*! @brief Called when a version has become whole; gets the digest of its manifest. */
    using whole_handler = std::function<void(const digest&)>;

    /**
     * @brief Makes an exchange that fetches nothing yet.
     * @param owner The loop.
     * @param http The HTTP client.
     * @param counts The metrics.
     * @param settings The daemon's settings; instance, region and distribution are used.
     * @param send Sends to a peer.
     * @param on_whole Called when a version is whole.
     */
    exchange(net::loop& owner, net::http_client& http, net::counters& counts, const config::settings& settings,
             sender send, whole_handler on_whole);
    ~exchange();

    exchange(const exchange&) = delete;
    exchange(exchange&&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;
    auto operator=(exchange&&) -> exchange& = delete;

    /*! @brief Fetches a version until it is whole. @param manifest Digest of its manifest. */
    auto want(const digest& manifest) -> void;

    /*! @brief Forgets a version, but for chunks that another one shares. @param manifest Digest of its manifest. */
    auto drop(const digest& manifest) -> void;

    /*! @brief Replaces the list of peers. @param peers All agents that may hold or fetch weights. */
    auto set_peers(std::span<const peer> peers) -> void;

    /*! @brief Takes a HaveMap. @param from The sender. @param message An envelope of which the body is a HaveMap. */
    auto on_message(std::string_view from, const wire::Envelope& message) -> void;

    /**
     * @brief Answers on the bulk listener: `GET /v1/manifests/{manifest}`, and `GET /v1/weights/{manifest}` with or
     * without `Range`, as far as verified chunks cover it.
     * @param request The request.
     * @param answer The responder.
     */
    auto serve(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void;

    /*! @brief Returns how far a version is. @param manifest Digest of its manifest. @return The progress. */
    [[nodiscard]] auto state(const digest& manifest) const -> progress;

    /*! @brief Writes the tables as JSON for the state dump. @return A JSON object. */
    [[nodiscard]] auto dump() const -> std::string;

private:
    std::shared_ptr<internal::node> m_node;
};

} // namespace rhubarbwharf::exchange
