#include <agent/daemon.hpp>

#include <algorithm>

#include <agent/journal.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/setup/settings.hpp>
#include <rhubarbwharf/wire/state.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration gate_interval = std::chrono::milliseconds{50};
constexpr duration journal_interval = std::chrono::milliseconds{20};
constexpr std::uint32_t max_bulk_body_bytes = 4096;

[[nodiscard]] auto make_bulk_limits(const config::limit_settings& limits) -> net::http_limits {
    auto bulk_limits = setup::http_limits_of(limits);
    bulk_limits.m_body_bytes = max_bulk_body_bytes;
    return bulk_limits;
}

auto connect_entries(daemon& self) -> void {
    for (const auto& entry : self.m_settings.m_entries) {
        if (const auto address = net::parse_endpoint(entry.m_bus)) {
            self.m_bus.connect(entry.m_instance, *address);
        }
    }
}

[[nodiscard]] auto listen(daemon& self) -> code {
    const auto& addresses = self.m_settings.m_listen;
    const auto bus = net::parse_endpoint(addresses.m_bus);
    const auto bulk = net::parse_endpoint(addresses.m_bulk);
    const auto admin = net::parse_endpoint(addresses.m_admin);
    if (!bus || !bulk || !admin) {
        return code::settings_range;
    }
    for (const auto outcome : {self.m_bus.listen(*bus), self.m_bulk.listen(*bulk), self.m_admin.listen(*admin)}) {
        if (outcome != code::ok) {
            return outcome;
        }
    }
    return code::ok;
}

} // namespace internal

daemon::daemon(const config::settings& settings)
    : m_settings{settings},
      m_incarnation{setup::draw_incarnation()}, m_http{m_loop}, m_bus{m_loop, settings.m_instance,
                                                                      setup::bus_limits_of(settings.m_limits),
                                                                      [this](const auto peer, const auto bytes) {
                                                                          on_frame(*this, peer, bytes);
                                                                      }},
      m_platform{m_loop, m_http, setup::client_settings_of(settings.m_platform)},
      m_exchange{m_loop,
                 m_http,
                 m_counters,
                 m_settings,
                 [this](const auto peer, const auto& message) { send_to_agent(*this, peer, message); },
                 [this](const digest&) {
                     advance_gate(*this);
                 }},
      m_bulk{m_loop, internal::make_bulk_limits(settings.m_limits),
             [this](auto request, auto answer) {
                 m_exchange.serve(std::move(request), std::move(answer));
             }},
      m_admin{m_loop, setup::http_limits_of(settings.m_limits), [this](const auto& request, const auto& answer) {
                  serve_admin(*this, request, *answer);
              }} {
    m_backend = net::parse_endpoint(settings.m_backend.m_address).value_or(net::endpoint{});
    m_gate.m_plain_service = settings.m_backend.m_plain_service;
    m_admission.m_capacity = settings.m_backend.m_capacity;
    m_admission.m_queue_limit = settings.m_backend.m_queue;
    start_journal(*this);
}

auto make_envelope(const daemon& self) -> wire::Envelope {
    wire::Envelope message{};
    message.set_protocol(wire::protocol_version);
    message.set_incarnation(self.m_incarnation);
    return message;
}

auto send(daemon& self, const std::string_view peer, const wire::Envelope& message) -> bool {
    const auto outcome = self.m_bus.send(peer, message.SerializeAsString());
    if (outcome != code::ok) {
        self.m_counters.add("agent_sends_failed_total", 1.0, describe(outcome).m_name);
    }
    return outcome == code::ok;
}

auto send_to_agent(daemon& self, const std::string_view peer, const wire::Envelope& message) -> void {
    const auto name = std::string{peer};
    const auto found = self.m_agent_addresses.find(name);
    if (found == self.m_agent_addresses.end()) {
        return;
    }
    self.m_bus.connect(peer, found->second);
    self.m_connected_agents.insert(name);
    auto copy = message;
    copy.set_protocol(wire::protocol_version);
    copy.set_incarnation(self.m_incarnation);
    send(self, peer, copy);
}

auto send_to_entries(daemon& self, const wire::Envelope& message) -> void {
    const auto bytes = message.SerializeAsString();
    for (const auto& entry : self.m_settings.m_entries) {
        if (self.m_bus.send(entry.m_instance, bytes) != code::ok) {
            self.m_counters.add("agent_sends_failed_total", 1.0, "to_entries");
        }
    }
}

auto start(daemon& self) -> code {
    const auto outcome = internal::listen(self);
    if (outcome != code::ok) {
        return outcome;
    }
    internal::connect_entries(self);
    acquire_epoch(self);
    send_probe(self);
    self.m_loop.every(std::chrono::milliseconds{self.m_settings.m_backend.m_probe_ms}, [&self] { send_probe(self); });
    self.m_loop.every(std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms}, [&self] { send_report(self); });
    self.m_loop.every(internal::gate_interval, [&self] {
        advance_gate(self);
        process_queue(self);
    });
    if (self.m_has_journal) {
        self.m_loop.every(internal::journal_interval, [&self] { tick_journal(self); });
    }
    self.m_loop.on_stop_signal([&self](const int signals) { stop(self, signals); });
    send_report(self);
    return code::ok;
}

} // namespace rhubarbwharf::agent
