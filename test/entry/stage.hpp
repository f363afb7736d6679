#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

/*! @brief Speaks as an agent to an entry on the same loop; does nothing of its own accord. */
struct fake_agent {
    fake_agent(daemon& entry, std::string name, std::uint64_t incarnation);

    auto say(wire::Envelope message) -> void;
    auto report(std::string_view group, wire::Phase phase, bool plain_service = false) -> void;
    auto head(const wire::Dispatch& to, std::uint32_t attempt) -> void;
    auto part(const wire::Dispatch& to, std::uint32_t attempt, std::uint32_t sequence, std::string_view bytes) -> void;
    auto end(const wire::Dispatch& to, std::uint32_t attempt, std::uint32_t parts, code why, bool not_run = false,
             bool crashed = false) -> void;
    [[nodiscard]] auto dispatches() const -> std::vector<wire::Dispatch>;
    [[nodiscard]] auto cancels() const -> std::size_t;

    daemon& m_entry;
    std::uint64_t m_incarnation{};
    std::uint64_t m_sequence{};
    std::vector<wire::OwnedShard> m_shards{};
    std::vector<wire::Envelope> m_got{};
    net::bus m_bus;
};

/*! @brief What a caller got so far. */
struct caller {
    net::http_response m_head{};
    std::string m_body{};
    bool m_ended{false};
    /*! @brief Whether the response came whole. */
    bool m_whole{false};
};

/*! @brief An entry with real sockets, on one loop with its agents and callers. */
struct stage {
    stage();

    /*! @brief Runs the loop until a condition holds. @param holds The condition. @return Whether it did in time. */
    auto wait(const std::function<bool()>& holds) -> bool;
    /*! @brief Runs the loop for a few ticks. */
    auto settle() -> void;
    auto ask(std::string method, std::string target, std::string body, std::vector<net::header> headers = {})
        -> std::shared_ptr<caller>;
    auto agent(std::string name, std::string_view group = "chef", bool plain_service = false) -> fake_agent&;

    daemon m_entry;
    std::vector<std::unique_ptr<fake_agent>> m_agents{};
};

} // namespace rhubarbwharf::entry
