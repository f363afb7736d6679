#include <utility>

#include <node/contact.hpp>

namespace rhubarbwharf::node {

auto note_reachability(core& self, const std::string_view prefix, const bool reachable) -> void {
    self.m_events.write(
        reachable ? "store.reached" : "store.lost",
        {{"prefix", prefix}, {"revision", static_cast<std::int64_t>(self.m_servers.m_version.m_revision)}});
    if (reachable && !self.m_store_reachable) {
        self.m_store_reachable_since = steady_now();
    }
    self.m_store_reachable = reachable;
    self.m_counters.set("store_reachable", reachable ? 1.0 : 0.0);
}

auto note_contact(core& self, const bool answers) -> void {
    const auto now = steady_now();
    self.m_events.write(answers ? "store.reached" : "store.lost",
                        {{"prefix", "calls"}, {"silent", self.m_store_silent}});
    if (!answers) {
        self.m_store_unanswered_at = now;
        if (self.m_registration && self.m_registered) {
            self.m_registration->probe([&self](const bool responds) { self.m_store_silent = !responds; });
        }
        return;
    }
    if (std::exchange(self.m_store_silent, false)) {
        self.m_store_reachable_since = now;
    }
    const auto watch_timeout = std::chrono::milliseconds{self.m_settings.m_store.m_watch_ms};
    if (self.m_server_follower) {
        self.m_server_follower->replace_watch(self.m_store_unanswered_at, watch_timeout);
    }
}

} // namespace rhubarbwharf::node
