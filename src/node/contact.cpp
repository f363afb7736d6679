#include <algorithm>
#include <array>
#include <utility>

#include <node/boot_clock.hpp>
#include <node/contact.hpp>
#include <node/store_version.hpp>

namespace rhubarbwharf::node {

namespace internal {

namespace {

auto note_doubt(core& self, const bool doubted) -> void {
    if (std::exchange(self.m_store_doubted, doubted) == doubted) {
        return;
    }
    self.m_events.write("store.doubted", {{"doubted", doubted}, {"watches", self.m_watches_store}});
    self.m_counters.add("store_doubts_total", doubted ? 1.0 : 0.0);
    // The gateways that rely on this watcher must not wait for the next regular heartbeat.
    send_pulse(self);
}

/*! @brief Checks whether it has been unknown for too long whether the watches deliver all changes. */
[[nodiscard]] auto is_knowledge_outdated(const core& self, const time_point now) -> bool {
    return self.m_store_known_until && now - *self.m_store_known_until > max_store_knowledge_age;
}

/*! @brief Checks whether a response of the store is arriving: what is slow then is a link, as a change may be large.
 * Other gateways that came to watch would read the same over that link. */
[[nodiscard]] auto is_receiving(const core& self) -> bool {
    const auto now = steady_now();
    const std::array followers{self.m_operator_follower.get(), self.m_server_follower.get()};
    return std::ranges::any_of(followers, [now](const auto* each) { return each && each->is_receiving(now); });
}

/*! @brief Checks whether what this process watches may be outdated. @param probe Number of the last probe. */
[[nodiscard]] auto is_doubtful(const core& self, const std::uint64_t probe) -> bool {
    const auto is_outdated = self.m_watches_store && is_knowledge_outdated(self, boot_now());
    const auto is_answered = self.m_answered_store_probe >= probe;
    return is_outdated || !(is_answered || is_receiving(self));
}

/*! @brief Doubts the store some time after a probe that is not answered yet. */
auto doubt_later(core& self, const std::uint64_t probe) -> void {
    self.m_loop.after(store_doubt_time, [&self, probe] {
        if (self.m_answered_store_probe >= probe || self.m_store_probes != probe) {
            return;
        }
        if (is_doubtful(self, probe)) {
            note_doubt(self, true);
        } else {
            doubt_later(self, probe);
        }
    });
}

} // namespace

} // namespace internal

auto note_reachability(core& self, const std::string_view prefix, const bool reachable) -> void {
    self.m_events.write(
        reachable ? "store.reached" : "store.lost",
        {{"prefix", prefix}, {"revision", static_cast<std::int64_t>(self.m_servers.m_version.m_revision)}});
    self.m_store_reachable = reachable;
    self.m_counters.set("store_reachable", reachable ? 1.0 : 0.0);
}

auto note_response(core& self, const duration silence) -> void {
    if (silence >= min_lapse_time) {
        self.m_store_reachable_since = steady_now();
    }
}

auto note_contact(core& self, const bool answers) -> void {
    const auto now = steady_now();
    self.m_events.write(answers ? "store.reached" : "store.lost",
                        {{"prefix", "calls"}, {"silent", self.m_store_silent}});
    if (!answers) {
        self.m_store_unanswered_at = now;
        if (self.m_registration && self.m_registered) {
            self.m_registration->probe(
                [&self](const adapter::reply reply) { self.m_store_silent = reply == adapter::reply::unknown; });
        }
        return;
    }
    self.m_store_silent = false;
    const auto watch_timeout = std::chrono::milliseconds{self.m_settings.m_store.m_watch_ms};
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        if (each) {
            each->replace_watch(now, watch_timeout);
        }
    }
}

auto probe_store(core& self, const time_point now) -> void {
    if (!self.m_registration || !self.m_registered) {
        return;
    }
    const auto probe = ++self.m_store_probes;
    const auto is_reader = is_version_reader(self);
    const auto as_of = is_reader ? std::optional{now} : std::nullopt;
    if (self.m_store_known_until) {
        self.m_counters.set("store_knowledge_age_seconds",
                            std::chrono::duration<double>{now - *self.m_store_known_until}.count());
    }
    const auto consistency =
        is_reader ? adapter::read_consistency::linearizable : adapter::read_consistency::serializable;
    self.m_store.read_version(consistency, [&self, probe, as_of](const adapter::page& page) {
        const auto responds = page.m_reply == adapter::reply::ok;
        if (responds) {
            self.m_answered_store_probe = std::max(self.m_answered_store_probe, probe);
        }
        if (responds) {
            note_store_version(self, page.m_version, as_of);
        }
        if (responds && as_of) {
            tell_version_requesters(self);
        }
        internal::note_doubt(self, internal::is_doubtful(self, probe));
    });
    if (!is_reader) {
        request_store_version(self);
    }
    internal::doubt_later(self, probe);
}

} // namespace rhubarbwharf::node
