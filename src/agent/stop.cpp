#include <agent/daemon.hpp>

#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::agent {

namespace internal {

constexpr duration stop_check_period = std::chrono::milliseconds{50};
/*! @brief Time for the last messages to leave before the process ends. */
constexpr duration last_message_time = std::chrono::milliseconds{100};
constexpr int status_cut = 2;

auto send_leave(daemon& self) -> void {
    auto message = envelope(self);
    message.mutable_leave()->set_grace_ms(self.m_settings.m_drain.m_notice_ms);
    send_to_entries(self, message);
}

[[nodiscard]] auto is_idle(const daemon& self) -> bool {
    const auto is_late = steady_now() > self.m_give_back_until;
    return self.m_relays.empty() && (!self.m_is_journalled || self.m_owner.m_is_all_released || is_late);
}

auto end_when_idle(daemon& self) -> void {
    if (!is_idle(self)) {
        self.m_loop.after(stop_check_period, [&self] { end_when_idle(self); });
        return;
    }
    send_leave(self);
    net::log(net::level::info, "agent", "drained");
    self.m_loop.after(last_message_time, [&self] { self.m_loop.stop(); });
}

auto close(daemon& self) -> void {
    self.m_gate.m_draining = true;
    self.m_give_back_until = steady_now() + 2 * self.m_owner.m_options.m_lease_ttl;
    execution::release_all(self.m_owner);
    report(self);
    self.m_bulk.drain();
    end_when_idle(self);
}

auto stop_at_once(daemon& self) -> void {
    self.m_cut = self.m_relays.size();
    self.m_counters.add("agent_cut_total", static_cast<double>(self.m_cut));
    net::log(net::level::warn, "agent", "stopped at once, requests cut: " + std::to_string(self.m_cut));
    self.m_status = self.m_cut > 0 ? status_cut : 0;
    self.m_loop.stop();
}

} // namespace internal

auto stop(daemon& self, const int signals) -> void {
    if (signals > 1) {
        return internal::stop_at_once(self);
    }
    if (self.m_is_stopping) {
        return;
    }
    self.m_is_stopping = true;
    net::log(net::level::info, "agent", "draining");
    internal::send_leave(self);
    report(self);
    const auto notice = std::chrono::milliseconds{self.m_settings.m_drain.m_notice_ms};
    self.m_loop.after(notice, [&self] { internal::close(self); });
}

} // namespace rhubarbwharf::agent
