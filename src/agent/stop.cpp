#include <agent/daemon.hpp>

#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration stop_check_interval = std::chrono::milliseconds{50};
/*! @brief Time for queued messages to be sent before the process exits. */
constexpr duration send_flush_delay = std::chrono::milliseconds{100};
constexpr int exit_status_requests_cut = 2;

auto send_leave(daemon& self) -> void {
    auto message = make_envelope(self);
    message.mutable_leave()->set_grace_ms(self.m_settings.m_drain.m_notice_ms);
    send_to_entries(self, message);
}

[[nodiscard]] auto is_idle(const daemon& self) -> bool {
    const auto is_release_overdue = steady_now() > self.m_shard_release_deadline;
    return self.m_relays.empty() && (!self.m_has_journal || self.m_owner.m_is_all_released || is_release_overdue);
}

auto stop_when_idle(daemon& self) -> void {
    if (!is_idle(self)) {
        self.m_loop.after(stop_check_interval, [&self] { stop_when_idle(self); });
        return;
    }
    send_leave(self);
    net::log(net::level::info, "agent", "drained");
    self.m_loop.after(send_flush_delay, [&self] { self.m_loop.stop(); });
}

auto begin_drain(daemon& self) -> void {
    self.m_gate.m_is_draining = true;
    self.m_shard_release_deadline = steady_now() + 2 * self.m_owner.m_options.m_lease_ttl;
    execution::release_all(self.m_owner);
    send_report(self);
    self.m_bulk.drain();
    stop_when_idle(self);
}

auto stop_immediately(daemon& self) -> void {
    self.m_requests_cut = self.m_relays.size();
    self.m_counters.add("agent_cut_total", static_cast<double>(self.m_requests_cut));
    net::log(net::level::warn, "agent",
             "second stop signal: stopping immediately, requests cut: " + std::to_string(self.m_requests_cut));
    self.m_exit_status = self.m_requests_cut > 0 ? exit_status_requests_cut : 0;
    self.m_loop.stop();
}

} // namespace internal

auto stop(daemon& self, const int signals) -> void {
    if (signals > 1) {
        return internal::stop_immediately(self);
    }
    if (self.m_is_stopping) {
        return;
    }
    self.m_is_stopping = true;
    net::log(net::level::info, "agent", "draining");
    internal::send_leave(self);
    send_report(self);
    const auto notice = std::chrono::milliseconds{self.m_settings.m_drain.m_notice_ms};
    self.m_loop.after(notice, [&self] { internal::begin_drain(self); });
}

} // namespace rhubarbwharf::agent
