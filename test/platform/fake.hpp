#pragma once

#include <map>
#include <vector>

#include <rhubarbwharf/net/http.hpp>

#include "net/fixture.hpp"
#include "platform/wire.hpp"

namespace rhubarbwharf::platform {

/*! @brief Key-value service in memory, with the faults that the client has to stand. */
struct fake {
    explicit fake(net::loop& owner);

    [[nodiscard]] auto settings() const -> client_settings;
    auto write(const std::string& key, const std::string& value) -> void;
    auto cut_watches() -> void;

    revision m_revision{10U};
    std::map<std::string, key_value> m_keys{};
    std::vector<std::shared_ptr<net::responder>> m_watchers{};
    /*! @brief Writes whose effect happens and whose answer is lost. */
    int m_answers_to_lose{};
    /*! @brief Writes whose effect happens and that are answered with status 503. */
    int m_answers_to_deny{};
    /*! @brief Writes that are cut off before their effect. */
    int m_writes_to_lose{};
    /*! @brief Reads that get no answer. */
    int m_reads_to_lose{};
    int m_reads{};
    int m_writes{};
    lease_number m_lease{};
    /*! @brief Called between the effect of a write and the loss of its answer. */
    std::function<void()> m_before_loss{};
    net::http_server m_server;

private:
    auto handle(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void;
    auto range(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void;
    auto txn(const net::http_request& request, const std::shared_ptr<net::responder>& answer) -> void;
    [[nodiscard]] auto header() const -> std::string;
};

} // namespace rhubarbwharf::platform
