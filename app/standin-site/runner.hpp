#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "store.hpp"

namespace rhubarbwharf::standin_site {

/*! @brief What has been seen that must never happen; each as a line for a person. */
struct violations {
    std::vector<std::string> m_lines{};

    auto add(std::string line) -> void { m_lines.push_back(std::move(line)); }
};

/*! @brief What all servers of a site know and count. */
struct site_observations {
    /*! @brief How often each attempt ran, by its id. */
    std::map<std::string, unsigned> m_executions{};
    /*! @brief Requests that arrived, by server. */
    std::map<std::string, unsigned> m_arrivals{};
    /*! @brief Since when every daemon can hear the store; the far future while one can't. */
    time_point m_store_reachable_since{};
    /*! @brief Keys of the organisations, which no server may see. */
    std::set<std::string> m_api_keys{};
    violations m_violations{};
};

/*! @brief What a server does wrong, until it is set anew. */
struct server_faults {
    /*! @brief Takes requests and answers none. */
    bool m_unresponsive{false};
    /*! @brief Cuts every so many-th answer in the middle; 0 for none. */
    unsigned m_cut_every{};
    /*! @brief Runs every so many-th request and cuts its connection without an answer; 0 for none. */
    unsigned m_lose_reply_every{};
    /*! @brief Refuses every so many-th request as full; 0 for none. */
    unsigned m_refuse_every{};
};

/*! @brief Fixed properties of one server. */
struct server_options {
    std::string m_id{};
    std::string m_service{};
    std::string m_data_centre{};
    unsigned m_slot_count{4};
    /*! @brief Model that a runner holds; empty for a plain server. */
    std::string m_model{};
    std::uint64_t m_version{};
    unsigned m_layer_count{4};
    std::size_t m_piece_count{};
    duration m_step_duration{std::chrono::milliseconds{5}};
};

/*! @brief One backend server: a model runner or a plain one. */
class server {
public:
    server(net::loop& owner, store& registry, site_observations& book, server_options options);
    ~server();
    server(const server&) = delete;
    server(server&&) = delete;
    auto operator=(const server&) -> server& = delete;
    auto operator=(server&&) -> server& = delete;

    /*! @brief Starts listening and registers itself. @param port Port; 0 takes a free one. @return Whether it listens.
     */
    [[nodiscard]] auto start(std::uint16_t port) -> bool;

    /*! @brief Says that it leaves; it serves on. */
    auto drain() -> void;

    /*! @brief Takes its entry out, as when it has been silent for long. */
    auto unregister() -> void;

    /*! @brief Sets what goes wrong. @param faults The faults. */
    auto set_faults(const server_faults& faults) -> void;

    [[nodiscard]] auto address() const -> net::endpoint;

    [[nodiscard]] auto version() const noexcept -> std::uint64_t { return m_options.m_version; }

    [[nodiscard]] auto is_draining() const noexcept -> bool { return m_draining; }

    /*! @brief When it said that it leaves. */
    [[nodiscard]] auto draining_since() const noexcept -> time_point { return m_draining_since; }

private:
    using responder_ptr = std::shared_ptr<net::responder>;

    struct stream;

    auto on_request(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_control(const net::http_request& request, const responder_ptr& to) -> bool;
    auto on_load_order(const net::http_request& request, const responder_ptr& to) -> void;
    auto on_stage(const net::http_request& request, const responder_ptr& to) -> void;
    auto execute(const net::http_request& request, const responder_ptr& to) -> void;
    auto execute_stream(const net::http_request& request, const responder_ptr& to) -> void;
    auto schedule_event(const std::shared_ptr<stream>& running) -> void;
    auto check_request(const net::http_request& request) -> void;
    auto publish_entry() -> void;
    [[nodiscard]] auto make_entry() const -> boost::json::object;

    net::loop& m_loop;
    store& m_store;
    site_observations& m_observations;
    server_options m_options{};
    std::unique_ptr<net::http_server> m_server{};
    std::map<std::size_t, std::string> m_staged_pieces{};
    server_faults m_faults{};
    std::vector<responder_ptr> m_unanswered{};
    std::uint64_t m_start_time_us{};
    std::uint64_t m_accepted_orders{};
    unsigned m_running_requests{};
    unsigned m_request_count{};
    bool m_loading{false};
    bool m_draining{false};
    time_point m_draining_since{};
    std::shared_ptr<bool> m_alive{std::make_shared<bool>(true)};
};

/*! @brief Returns the bytes of a piece; each version has its own. @param version The version. @param piece Its index.
 * @return The bytes. */
[[nodiscard]] auto piece_bytes(std::uint64_t version, std::size_t piece) -> std::string;

/*! @brief Returns the body of an answer of a plain server. @param attempt The attempt. @return The body. */
[[nodiscard]] auto plain_server_body(std::string_view attempt) -> std::string;

/*! @brief Returns one event of a stream. @param attempt Content of the request. @param index Its number, from 1.
 * @return The event with its blank line. */
[[nodiscard]] auto event_text(std::string_view attempt, unsigned index) -> std::string;

/*! @brief Events of each stream. */
inline constexpr unsigned events_per_stream = 12;

} // namespace rhubarbwharf::standin_site
