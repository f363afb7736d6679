#include <algorithm>

#include <entry/daemon.hpp>
#include <rhubarbwharf/entry/run.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr int exit_status_stopped = 0;
constexpr int exit_status_no_listener = 1;
constexpr duration flush_delay = std::chrono::milliseconds{200};
constexpr duration leave_resend_interval = std::chrono::milliseconds{200};
constexpr duration member_list_interval = std::chrono::milliseconds{250};

[[nodiscard]] auto quarantine_key_of(const config::settings& settings) -> digest {
    std::string text{"quarantine"};
    for (const auto& owner : settings.m_organisations) {
        text += as_bytes(owner.m_key_sha256);
    }
    return sha256(text);
}

[[nodiscard]] auto open_listener(net::http_server& server, const std::string& address) -> bool {
    const auto endpoint = net::parse_endpoint(address);
    return endpoint && server.listen(*endpoint) == code::ok;
}

/*! @brief Returns how long the caller listener stays open after leaving begins: until the other entries have received
 * the announcement and the lists of entries that callers hold have expired. */
[[nodiscard]] auto min_leave_time(const daemon& self) -> duration {
    return std::chrono::milliseconds{self.m_settings.m_drain.m_entries_ttl_ms} +
           std::chrono::milliseconds{self.m_settings.m_drain.m_notice_ms};
}

auto stop_when_drained(daemon& self, const time_point now) -> void {
    if (!self.m_leaving || now - self.m_leave_started < min_leave_time(self)) {
        return;
    }
    if (!self.m_listener_closed) {
        self.m_listener_closed = true;
        self.m_caller_server.drain();
        net::log(net::level::info, "entry", "caller listener closed; no new connections are accepted");
    }
    if (self.m_requests.empty()) {
        self.m_loop.after(flush_delay, [&self] { self.m_loop.stop(); });
    }
}

auto tick(daemon& self) -> void {
    const auto now = steady_now();
    detect_suspension(self, now);
    expire_requests(self, now);
    send_queued_requests(self);
    stop_when_drained(self, now);
}

auto on_stop_signal(daemon& self, const int count) -> void {
    if (count == 1) {
        return begin_leaving(self);
    }
    self.m_counters.add("entry_requests_cut_total", static_cast<double>(self.m_requests.size()));
    net::log(net::level::warn, "entry",
             "stopping immediately after a second signal; requests cut: " + std::to_string(self.m_requests.size()));
    self.m_loop.stop();
}

} // namespace internal

daemon::daemon(const config::settings& settings)
    : m_settings{settings}, m_incarnation{setup::draw_incarnation()}, m_random{setup::draw_incarnation()},
      m_quarantine_key{internal::quarantine_key_of(settings)}, m_started{steady_now()},
      m_http_client{m_loop}, m_bus{m_loop, settings.m_instance, setup::bus_limits_of(settings.m_limits),
                                   [this](const std::string_view from, const std::string_view bytes) {
                                       on_frame(*this, from, bytes);
                                   }},
      m_caller_server{m_loop, setup::http_limits_of(settings.m_limits),
                      [this](net::http_request incoming, std::shared_ptr<net::responder> responder) {
                          on_caller_request(*this, std::move(incoming), std::move(responder));
                      }},
      m_admin_server{m_loop, setup::http_limits_of(settings.m_limits),
                     [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& responder) {
                         on_admin_request(*this, incoming, responder);
                     }},
      m_platform_client{m_loop, m_http_client, setup::client_settings_of(settings.m_platform)},
      m_state_digest{ticket::fingerprint({})}, m_last_request_id{setup::draw_incarnation()} {
    m_member_limits.m_suspect_timeout = std::chrono::milliseconds{settings.m_routing.m_suspect_ms};
    m_choice_options.m_bounded_load = settings.m_routing.m_bounded_load;
    m_retry_budget.m_tokens_per_success = settings.m_routing.m_retry_ratio;
}

auto open_listeners(daemon& self) -> bool {
    const auto bus = net::parse_endpoint(self.m_settings.m_listen.m_bus);
    return bus && self.m_bus.listen(*bus) == code::ok &&
           internal::open_listener(self.m_admin_server, self.m_settings.m_listen.m_admin) &&
           internal::open_listener(self.m_caller_server, self.m_settings.m_listen.m_callers);
}

auto start(daemon& self) -> void {
    connect_peers(self);
    watch_desired_state(self);
    self.m_loop.every(tick_interval, [&self] { internal::tick(self); });
    self.m_loop.every(std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms},
                      [&self] { gossip(self, steady_now()); });
    self.m_loop.every(internal::member_list_interval, [&self] { push_member_list(self, steady_now()); });
    self.m_loop.every(internal::leave_resend_interval, [&self] {
        if (self.m_leaving) {
            broadcast_leaving(self);
        }
    });
    self.m_loop.on_stop_signal([&self](const int count) { internal::on_stop_signal(self, count); });
}

auto begin_leaving(daemon& self) -> void {
    if (self.m_leaving) {
        return;
    }
    self.m_leaving = true;
    self.m_leave_started = steady_now();
    net::log(net::level::info, "entry",
             "this entry leaves; requests in progress: " + std::to_string(self.m_requests.size()));
    broadcast_leaving(self);
}

auto run(const config::settings& settings) -> int {
    daemon self{settings};
    if (!open_listeners(self)) {
        net::log(net::level::error, "entry", "failed to open a listener (bus, admin or callers)");
        return internal::exit_status_no_listener;
    }
    start(self);
    net::log(net::level::info, "entry", "started");
    self.m_loop.run();
    return internal::exit_status_stopped;
}

} // namespace rhubarbwharf::entry
