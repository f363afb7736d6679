#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include "net/bus_core.hpp"

namespace rhubarbwharf::net {

struct bus::state {
    std::shared_ptr<internal::bus_core> m_core{};
};

bus::bus(loop& owner, std::string name, const bus_limits limits, handler on_message)
    : m_state{std::make_unique<state>()} {
    m_state->m_core =
        std::make_shared<internal::bus_core>(owner.context(), std::move(name), limits, std::move(on_message));
    m_state->m_core->start();
}

bus::~bus() {
    m_state->m_core->close();
}

auto bus::listen(const endpoint& where) -> code {
    return m_state->m_core->listen(where);
}

auto bus::port() const noexcept -> std::uint16_t {
    return m_state->m_core->m_port;
}

auto bus::connect(const std::string_view peer, const endpoint& where) -> void {
    m_state->m_core->connect(peer, where);
}

auto bus::disconnect(const std::string_view peer) -> void {
    m_state->m_core->disconnect(peer);
}

auto bus::send(const std::string_view peer, const std::string_view bytes) -> code {
    return m_state->m_core->send(peer, bytes);
}

auto bus::sent_bytes() const noexcept -> std::size_t {
    return m_state->m_core->m_sent_bytes;
}

auto bus::received_bytes() const noexcept -> std::size_t {
    return m_state->m_core->m_received_bytes;
}

} // namespace rhubarbwharf::net
