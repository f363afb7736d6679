#include <algorithm>

#include <entry/daemon.hpp>
#include <rhubarbwharf/entry/run.hpp>
#include <rhubarbwharf/net/log.hpp>
#include <rhubarbwharf/setup/settings.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr int status_stopped = 0;
constexpr int status_no_listener = 1;
constexpr duration flush_time = std::chrono::milliseconds{200};
constexpr duration tell_again = std::chrono::milliseconds{200};
constexpr duration members_period = std::chrono::milliseconds{250};

[[nodiscard]] auto quarantine_key_of(const config::settings& settings) -> digest {
    std::string text{"quarantine"};
    for (const auto& owner : settings.m_organisations) {
        text += as_bytes(owner.m_key_sha256);
    }
    return sha256(text);
}

[[nodiscard]] auto listen(net::http_server& server, const std::string& where) -> bool {
    const auto parsed = net::parse_endpoint(where);
    return parsed && server.listen(*parsed) == code::ok;
}

/*! @brief Time for which other entries may still name this one, and callers keep what they were told. */
[[nodiscard]] auto leaving_time(const daemon& self) -> duration {
    return std::chrono::milliseconds{self.m_settings.m_drain.m_entries_ttl_ms} +
           std::chrono::milliseconds{self.m_settings.m_drain.m_notice_ms};
}

auto end_when_done(daemon& self, const time_point now) -> void {
    if (!self.m_leaving || now - self.m_left < leaving_time(self)) {
        return;
    }
    if (!self.m_closed) {
        self.m_closed = true;
        self.m_callers.drain();
        net::log(net::level::info, "entry", "takes no new connections");
    }
    if (self.m_requests.empty()) {
        self.m_loop.after(flush_time, [&self] { self.m_loop.stop(); });
    }
}

auto tick(daemon& self) -> void {
    const auto now = steady_now();
    adjust_for_suspension(self, now);
    expire(self, now);
    pump(self);
    end_when_done(self, now);
}

auto on_stop(daemon& self, const int count) -> void {
    if (count == 1) {
        return begin_leaving(self);
    }
    self.m_counters.add("entry_requests_cut_total", static_cast<double>(self.m_requests.size()));
    net::log(net::level::warn, "entry", "stops at once; requests cut: " + std::to_string(self.m_requests.size()));
    self.m_loop.stop();
}

} // namespace internal

daemon::daemon(const config::settings& settings)
    : m_settings{settings}, m_incarnation{setup::draw_incarnation()}, m_random{setup::draw_incarnation()},
      m_quarantine_key{internal::quarantine_key_of(settings)}, m_started{steady_now()}, m_http{m_loop},
      m_bus{m_loop, settings.m_instance, setup::bus_limits_of(settings.m_limits),
            [this](const std::string_view from, const std::string_view bytes) {
                on_frame(*this, from, bytes);
            }},
      m_callers{m_loop, setup::http_limits_of(settings.m_limits),
                [this](net::http_request incoming, std::shared_ptr<net::responder> answer) {
                    on_caller(*this, std::move(incoming), std::move(answer));
                }},
      m_admin{m_loop, setup::http_limits_of(settings.m_limits),
              [this](const net::http_request& incoming, const std::shared_ptr<net::responder>& answer) {
                  on_admin(*this, incoming, answer);
              }},
      m_platform{m_loop, m_http, setup::client_settings_of(settings.m_platform)},
      m_fingerprint{ticket::fingerprint({})}, m_last_request{setup::draw_incarnation()} {
    m_bounds.m_suspect_timeout = std::chrono::milliseconds{settings.m_routing.m_suspect_ms};
    m_choice.m_bounded_load = settings.m_routing.m_bounded_load;
    m_budget.m_tokens_per_success = settings.m_routing.m_retry_ratio;
}

auto listen(daemon& self) -> bool {
    const auto bus = net::parse_endpoint(self.m_settings.m_listen.m_bus);
    return bus && self.m_bus.listen(*bus) == code::ok &&
           internal::listen(self.m_admin, self.m_settings.m_listen.m_admin) &&
           internal::listen(self.m_callers, self.m_settings.m_listen.m_callers);
}

auto start(daemon& self) -> void {
    connect_peers(self);
    watch_state(self);
    self.m_loop.every(tick_period, [&self] { internal::tick(self); });
    self.m_loop.every(std::chrono::milliseconds{self.m_settings.m_routing.m_report_ms},
                      [&self] { gossip(self, steady_now()); });
    self.m_loop.every(internal::members_period, [&self] { spread_members(self, steady_now()); });
    self.m_loop.every(internal::tell_again, [&self] {
        if (self.m_leaving) {
            tell_leaving(self);
        }
    });
    self.m_loop.on_stop_signal([&self](const int count) { internal::on_stop(self, count); });
}

auto begin_leaving(daemon& self) -> void {
    if (self.m_leaving) {
        return;
    }
    self.m_leaving = true;
    self.m_left = steady_now();
    net::log(net::level::info, "entry", "leaves; requests in progress: " + std::to_string(self.m_requests.size()));
    tell_leaving(self);
}

auto run(const config::settings& settings) -> int {
    daemon self{settings};
    if (!listen(self)) {
        net::log(net::level::error, "entry", "a listener can't be opened");
        return internal::status_no_listener;
    }
    start(self);
    net::log(net::level::info, "entry", "started");
    self.m_loop.run();
    return internal::status_stopped;
}

} // namespace rhubarbwharf::entry
