#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

/*! @brief Agent on the event loop of the entry; sends only the messages that the test requests. */
struct fake_agent {
    fake_agent(daemon& entry, std::string name, std::uint64_t incarnation);

    auto send(wire::Envelope message) -> void;
    auto send_report(std::string_view group, wire::Phase phase, bool plain_service = false) -> void;
    auto send_head(const wire::Dispatch& to, std::uint32_t attempt) -> void;
    auto send_part(const wire::Dispatch& to, std::uint32_t attempt, std::uint32_t sequence, std::string_view bytes)
        -> void;
    auto send_end(const wire::Dispatch& to, std::uint32_t attempt, std::uint32_t parts, code result_code,
                  bool not_run = false, bool crashed = false) -> void;
    [[nodiscard]] auto dispatches() const -> std::vector<wire::Dispatch>;
    [[nodiscard]] auto cancel_count() const -> std::size_t;

    daemon& m_entry;
    std::uint64_t m_incarnation{};
    std::uint64_t m_sequence{};
    std::vector<wire::OwnedShard> m_shards{};
    std::vector<wire::Envelope> m_received{};
    net::bus m_bus;
};

/*! @brief Response as received by a caller so far. */
struct received_response {
    net::http_response m_head{};
    std::string m_body{};
    bool m_ended{false};
    /*! @brief Whether the response ended without an error. */
    bool m_complete{false};
};

/*! @brief An entry with real sockets whose agents and callers share its event loop. */
struct entry_fixture {
    entry_fixture();

    /*! @brief Runs the event loop until a condition holds. @return False if it did not hold in time. */
    auto run_until(const std::function<bool()>& condition) -> bool;
    /*! @brief Runs the event loop for one tick interval. */
    auto run_one_tick() -> void;
    auto send_request(std::string method, std::string target, std::string body, std::vector<net::header> headers = {})
        -> std::shared_ptr<received_response>;
    auto add_agent(std::string name, std::string_view group = "chef", bool plain_service = false) -> fake_agent&;

    daemon m_entry;
    std::vector<std::unique_ptr<fake_agent>> m_agents{};
};

} // namespace rhubarbwharf::entry
