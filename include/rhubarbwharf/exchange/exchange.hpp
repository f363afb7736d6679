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
struct exchange_state;
} // namespace internal

/*! @brief Another agent that holds or fetches weights. */
struct peer {
    std::string m_instance{};
    std::string m_region{};
    std::string m_group{};
    /*! @brief Bus listener, for have-maps. */
    net::endpoint m_bus_endpoint{};
    /*! @brief Bulk listener, for manifests and chunks. */
    net::endpoint m_bulk_endpoint{};
    /*! @brief A leaving peer is not used as a source. */
    bool m_leaving{};
};

/*! @brief Progress of fetching one version; all zero until the manifest has been received. */
struct progress {
    /*! @brief Verified chunks. */
    std::uint32_t m_chunks_held{};
    /*! @brief Chunks of the version. */
    std::uint32_t m_chunks_total{};
    bool m_complete{};
    /*! @brief SHA-256 of the complete content, as the manifest states it. */
    digest m_content_digest{};
    std::uint64_t m_size_bytes{};
};

/*! @brief Fetches versions chunk by chunk from peers and the origin, verifies each chunk and serves it to peers. */
class exchange {
public:
    /*! @brief Sends an envelope over the bus to the peer of the given instance name. */
    using sender = std::function<void(std::string_view, const wire::Envelope&)>;
    /*! @brief Called with the digest of the manifest once every chunk of a version is verified. */
    using completion_handler = std::function<void(const digest&)>;

    /**
     * @brief Makes an exchange without any versions. The loop, the client and the counters must outlive it.
     * @param settings Uses the instance, the region, the group, the distribution and the send queue limit.
     * @param on_complete Called from the loop, never from within a member function of the exchange.
     */
    exchange(net::loop& loop, net::http_client& http, net::counters& counters, const config::settings& settings,
             sender send, completion_handler on_complete);
    ~exchange();

    exchange(const exchange&) = delete;
    exchange(exchange&&) = delete;
    auto operator=(const exchange&) -> exchange& = delete;
    auto operator=(exchange&&) -> exchange& = delete;

    /*! @brief Starts fetching a version, unless it is known already. @param manifest Digest of its manifest. */
    auto add_version(const digest& manifest) -> void;

    /**
     * @brief Cancels the downloads of a version and frees its chunks, except those that another version shares.
     * @param manifest Digest of its manifest.
     */
    auto remove_version(const digest& manifest) -> void;

    /*! @brief Replaces the list of peers. @param peers All agents; the local one and other groups are ignored. */
    auto set_peers(std::span<const peer> peers) -> void;

    /**
     * @brief Applies a HaveMap; any other message is ignored.
     * @param from Instance name of the sender.
     */
    auto on_message(std::string_view from, const wire::Envelope& message) -> void;

    /**
     * @brief Serves `GET /v1/manifests/{manifest}` and `GET /v1/weights/{manifest}` on the bulk listener.
     *
     * A `Range` must lie within one verified chunk; without one, the version must be complete.
     */
    auto serve(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void;

    /**
     * @brief Returns the progress of a version; all zero if the version or its manifest is missing.
     * @param manifest Digest of its manifest.
     */
    [[nodiscard]] auto progress_of(const digest& manifest) const -> progress;

    /*! @brief Returns the state as the text of a JSON object, for the state dump. */
    [[nodiscard]] auto dump() const -> std::string;

private:
    std::shared_ptr<internal::exchange_state> m_state;
};

} // namespace rhubarbwharf::exchange
