#pragma once

#include <map>
#include <memory>
#include <random>

#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>
#include <rhubarbwharf/platform/client.hpp>

#include "platform/decisions.hpp"

namespace rhubarbwharf::platform::internal {

/*! @brief Kinds of calls, each with its own rate. */
enum class kind : std::uint8_t { read, write };

/*! @brief How a call on the service ended. */
struct reply {
    /*! @brief `ok`: status and body are there; `rate_limited`: not sent; else `platform_unavailable`. */
    code m_code{code::ok};
    /*! @brief With a failure: whether the call may have had its effect. */
    net::sent m_sent{net::sent::nothing};
    std::uint16_t m_status{};
    std::string m_body{};
};

/*! @brief Sends calls to one of the service's servers, within the set rates; shared by all calls in progress. */
class service : public std::enable_shared_from_this<service> {
public:
    /*! @brief Gets the reply, once. */
    using replied = std::function<void(reply)>;

    service(net::loop& owner, net::http_client& http, client_settings settings);

    /**
     * @brief Makes a call; goes to the next server while no byte can have reached one, a read after any failure.
     * @param what The kind of the call.
     * @param most_wait Longest time that the call may be put off.
     * @param path The path.
     * @param body The body.
     * @param done Gets the reply.
     */
    auto call(kind what, duration most_wait, std::string path, std::string body, replied done) -> void;

    /*! @brief Runs a task later, unless the client has ended by then. @param delay The time. @param task The task. */
    auto after(duration delay, std::function<void()> task) -> void;

    /*! @brief Returns the server to try now. @return The server. */
    [[nodiscard]] auto server() const -> const net::endpoint&;

    /*! @brief Ends all watches; calls in progress end without a word. */
    auto close() -> void;

    /*! @brief Goes on to the next server. */
    auto rotate() -> void;

    net::loop& m_loop;
    net::http_client& m_http;
    client_settings m_settings{};
    call_counts m_counts{};
    time_point m_last_answer{};
    std::mt19937_64 m_random;
    /*! @brief The call of each watch, by the watch's number. */
    std::map<std::size_t, std::shared_ptr<net::call>> m_watch_calls{};
    std::size_t m_watches_started{};
    bool m_closed{};

private:
    auto attempt(kind what, std::string path, std::string body, unsigned left, replied done) -> void;
    auto on_answer(const net::call_end& end, net::http_response response) -> reply;

    bucket m_reads{};
    bucket m_writes{};
    std::size_t m_server{};
};

/**
 * @brief Makes a compare-and-swap, and settles a lost answer by reading back.
 * @param owner The service.
 * @param wanted Key, value and lease; `m_modified` is the revision that the key must have.
 * @param done Gets the outcome.
 */
auto start_put(std::shared_ptr<service> owner, key_value wanted, client::put_done done) -> void;

/**
 * @brief Watches a key or prefix until the client ends.
 * @param owner The service.
 * @param key The key or prefix.
 * @param is_prefix Which of both.
 * @param handler Gets each change.
 */
auto start_watch(std::shared_ptr<service> owner, std::string key, bool is_prefix, client::changed handler) -> void;

} // namespace rhubarbwharf::platform::internal
