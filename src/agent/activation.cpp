#include <agent/daemon.hpp>

#include <algorithm>
#include <charconv>
#include <utility>

#include <agent/engine.hpp>
#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration load_timeout = std::chrono::minutes{10};
constexpr duration epoch_retry_delay = std::chrono::seconds{1};
constexpr std::uint16_t status_ok = 200;

[[nodiscard]] auto epoch_key(const daemon& self) -> std::string {
    return "rhubarbwharf/epoch/" + self.m_settings.m_instance;
}

[[nodiscard]] auto parse_epoch(const std::string_view value) -> std::uint64_t {
    std::uint64_t epoch{};
    std::from_chars(value.data(), value.data() + value.size(), epoch);
    return epoch;
}

auto write_epoch(daemon& self, const platform::key_value& current) -> void {
    const auto next = parse_epoch(current.m_value) + 1;
    const auto value = std::to_string(next) + ' ' + std::to_string(self.m_incarnation);
    self.m_platform.put(epoch_key(self), value, current.m_modified, 0, [&self, next](const auto& outcome) {
        if (outcome.m_code == code::ok) {
            self.m_epoch = next;
            return advance_gate(self);
        }
        self.m_loop.after(epoch_retry_delay, [&self] { acquire_epoch(self); });
    });
}

auto log_phase(const daemon& self) -> void {
    net::log(net::level::info, "agent", std::string{"gate phase: "} + std::string{to_string(self.m_gate.m_phase)});
}

auto on_state_response(daemon& self, const std::uint64_t generation, const net::call_end& end,
                       const net::http_response& answer) -> void {
    self.m_is_probing = false;
    if (generation != self.m_gate.m_generation) {
        return;
    }
    probe_result result{};
    if (end.m_code == code::ok && self.m_settings.m_backend.m_plain_service) {
        result.m_state = engine_state{};
    } else if (end.m_code == code::ok && answer.m_status == status_ok) {
        result.m_state = parse_engine_state(answer.m_body);
    }
    result.m_connection_refused = end.m_code != code::ok && end.m_sent == net::sent::nothing;
    if (result.m_state) {
        self.m_engine_state = *result.m_state;
    }
    if (on_probe(self.m_gate, result)) {
        log_phase(self);
        send_report(self);
    }
    advance_gate(self);
}

[[nodiscard]] auto make_state_request() -> net::http_request {
    net::http_request request{};
    request.m_target = "/v1/engine/state";
    return request;
}

/*! @brief Removes the previous version from the exchange, which keeps chunks shared with other versions. */
auto drop_previous_version(daemon& self) -> void {
    const auto previous = std::exchange(self.m_previous_manifest, digest{});
    if (previous != digest{} && previous != self.m_fetched_manifest) {
        self.m_exchange.remove_version(previous);
    }
}

auto end_load(daemon& self, const bool accepted, const std::optional<engine_state>& read_back) -> void {
    on_loaded(self.m_gate, accepted, read_back, steady_now());
    const auto is_open = self.m_gate.m_phase == phase::serving;
    self.m_counters.add("agent_loads_total", 1.0, is_open ? "ok" : "load_failed");
    if (is_open) {
        drop_previous_version(self);
    }
    self.m_is_ready = false;
    log_phase(self);
    send_report(self);
    advance_gate(self);
}

auto read_back_state(daemon& self, const bool accepted) -> void {
    net::call_limits limits{};
    limits.m_total_time = std::chrono::milliseconds{self.m_settings.m_backend.m_probe_ms};
    self.m_http.fetch(self.m_backend, make_state_request(), limits,
                      [&self, accepted](const auto& end, const auto& answer) {
                          std::optional<engine_state> state{};
                          if (end.m_code == code::ok && answer.m_status == status_ok) {
                              state = parse_engine_state(answer.m_body);
                          }
                          end_load(self, accepted, state);
                      });
}

auto send_load(daemon& self, const gate_command& command) -> void {
    const auto manifest = to_hex(command.m_version.m_manifest);
    const auto source = "http://" + self.m_settings.m_listen.m_bulk + "/v1/weights/" + manifest;
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = "/v1/engine/load";
    request.m_headers.push_back({"Content-Type", "application/json"});
    request.m_body = make_load_order(command.m_version, command.m_order, source);
    net::call_limits limits{};
    limits.m_total_time = load_timeout;
    limits.m_idle_time = load_timeout;
    self.m_http.fetch(self.m_backend, std::move(request), limits, [&self](const auto& end, const auto& answer) {
        read_back_state(self, end.m_code == code::ok && answer.m_status == status_ok);
    });
}

auto check_epoch_and_load(daemon& self, const gate_command& command) -> void {
    self.m_platform.get(epoch_key(self), [&self, command](const code outcome, const platform::key_value& current) {
        if (outcome == code::ok && parse_epoch(current.m_value) > self.m_epoch) {
            self.m_gate.m_is_fenced = true;
            return end_load(self, false, std::nullopt);
        }
        send_load(self, command);
    });
}

/*! @brief Collects the input of the gate; also updates whether the target version is ready and since when. */
[[nodiscard]] auto collect_gate_input(daemon& self) -> gate_input {
    gate_input input{};
    const auto now = steady_now();
    if (needs_load(self.m_gate)) {
        const auto& target = *self.m_gate.m_target;
        const auto progress = self.m_exchange.progress_of(target.m_version.m_manifest);
        input.m_is_complete = progress.m_complete;
        input.m_content = progress.m_content_digest;
        if (progress.m_complete && !self.m_is_ready) {
            self.m_ready_since = now;
        }
        self.m_is_ready = progress.m_complete;
        const auto is_overdue = self.m_is_ready && now >= self.m_ready_since + turn_wait_timeout;
        input.m_is_turn = is_turn(self.m_members, {self.m_settings.m_instance, target.m_group_ticket,
                                                   self.m_settings.m_distribution.m_out_of_service_share, is_overdue});
    }
    input.m_requests_in_progress = static_cast<std::uint32_t>(self.m_admission.m_running);
    input.m_epoch = self.m_epoch;
    input.m_now = now;
    return input;
}

auto fetch_version(daemon& self, const digest& manifest) -> void {
    if (self.m_fetched_manifest == manifest) {
        return;
    }
    drop_previous_version(self);
    self.m_previous_manifest = std::exchange(self.m_fetched_manifest, manifest);
    self.m_exchange.add_version(manifest);
}

/**
 * @brief Fetches the served version while other members lack it.
 *
 * If the engine had loaded it before this process started, its chunks are not held here, but the exchange may rely on
 * this instance to fetch them into its region.
 */
auto fetch_for_members(daemon& self) -> void {
    if (self.m_gate.m_phase != phase::serving || self.m_gate.m_plain_service || needs_load(self.m_gate)) {
        return;
    }
    const auto lacks_version = [&self](const member& other) {
        return other.m_phase == phase::fetching && other.m_ticket < self.m_gate.m_ticket;
    };
    if (std::any_of(self.m_members.begin(), self.m_members.end(), lacks_version)) {
        fetch_version(self, self.m_gate.m_confirmed_version.m_manifest);
    }
}

} // namespace internal

auto acquire_epoch(daemon& self) -> void {
    self.m_platform.get(internal::epoch_key(self), [&self](const code outcome, const platform::key_value& current) {
        if (outcome == code::ok) {
            return internal::write_epoch(self, current);
        }
        self.m_loop.after(internal::epoch_retry_delay, [&self] { acquire_epoch(self); });
    });
}

auto send_probe(daemon& self) -> void {
    if (self.m_is_probing) {
        return;
    }
    self.m_is_probing = true;
    net::call_limits limits{};
    limits.m_total_time = std::chrono::milliseconds{self.m_settings.m_backend.m_probe_ms};
    const auto generation = self.m_gate.m_generation;
    self.m_http.fetch(self.m_backend, internal::make_state_request(), limits,
                      [&self, generation](const auto& end, const auto& answer) {
                          internal::on_state_response(self, generation, end, answer);
                      });
}

auto advance_gate(daemon& self) -> void {
    const auto previous_phase = self.m_gate.m_phase;
    const auto command = step(self.m_gate, internal::collect_gate_input(self));
    if (command.m_kind == gate_command::kind::fetch) {
        internal::fetch_version(self, command.m_version.m_manifest);
    }
    if (command.m_kind == gate_command::kind::load) {
        internal::check_epoch_and_load(self, command);
    }
    internal::fetch_for_members(self);
    if (self.m_gate.m_phase != previous_phase) {
        internal::log_phase(self);
        send_report(self);
    }
}

} // namespace rhubarbwharf::agent
