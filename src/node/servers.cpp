#include <algorithm>
#include <utility>

#include <node/core.hpp>

namespace rhubarbwharf::node {

namespace internal {

namespace {

/*! @brief Returns the rest of the window in which what the store lists may be outdated. @return At most zero if it has
 * passed. */
[[nodiscard]] auto remaining_recovery(const core& self) -> duration {
    const auto since = std::max(self.m_store_reachable_since, self.m_store_era_since);
    return store_recovery_window - (steady_now() - since);
}

auto merge(core& self, const fleet::backend_server& row) -> bool {
    if (!fleet::merge_server(self.m_servers, row)) {
        return false;
    }
    self.m_pending_removals.erase(row.m_id);
    return true;
}

/*! @brief Merges an entry when the recovery window has passed, unless a newer version is known by then. */
auto merge_later(core& self, const fleet::backend_server& row) -> void {
    auto& held = self.m_held_servers[row.m_id];
    if (std::exchange(held, row.m_store_version) == row.m_store_version) {
        return;
    }
    self.m_loop.after(remaining_recovery(self), [&self, row] {
        self.m_held_servers.erase(row.m_id);
        if (merge(self, row)) {
            self.m_events.write("server.entry", {{"server", row.m_id}, {"draining", row.m_draining}, {"held", true}});
            self.m_handlers.m_on_server(row.m_id);
            schedule_push(self, row.m_id);
        }
    });
}

} // namespace

} // namespace internal

auto mark_server_leaving(core& self, const std::string_view id, const fleet::leaving_server& server,
                         const std::string_view source) -> void {
    if (!fleet::merge_leaving(self.m_leaving_servers, id, server)) {
        return;
    }
    self.m_events.write(
        "server.leaving",
        {{"server", id}, {"started", static_cast<std::int64_t>(server.m_started_ms)}, {"source", source}});
    self.m_counters.add("servers_leaving_total");
    self.m_handlers.m_on_server(std::string{id});
}

namespace internal {

namespace {

auto report_limit(core& self, const std::string_view id, const fleet::server_limit& limit,
                  const std::string_view source) -> void {
    const auto age = steady_now() - limit.m_as_of;
    const auto is_lifted = limit.m_per_s == fleet::no_limit;
    self.m_events.write(is_lifted ? "server.limit_lifted" : "server.limited",
                        {{"server", id},
                         {"per_s", is_lifted ? 0.0 : limit.m_per_s},
                         {"source", source},
                         {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}});
    self.m_counters.add("server_limit_changes_total");
    self.m_handlers.m_on_server(std::string{id});
}

} // namespace

} // namespace internal

auto note_server_limit(core& self, const std::string_view id, const fleet::server_limit& limit,
                       const time_point sent_at) -> void {
    if (fleet::merge_named_limit(self.m_server_limits, id, limit, sent_at)) {
        internal::report_limit(self, id, limit, "server");
    }
}

auto accept_server_limit(core& self, const std::string_view id, const fleet::server_limit& limit,
                         const std::string_view source) -> void {
    if (fleet::merge_told_limit(self.m_server_limits, id, limit)) {
        internal::report_limit(self, id, limit, source);
    }
}

auto offer_server(core& self, const fleet::backend_server& row, const bool is_new_write) -> bool {
    const auto known = self.m_servers.m_rows.find(row.m_id);
    if (known != self.m_servers.m_rows.end() && fleet::revives_drained(known->second, row)) {
        mark_server_leaving(self, row.m_id, {row.m_started_ms, row.m_address}, "store");
    }
    if (!is_new_write && internal::remaining_recovery(self) > duration::zero() &&
        fleet::revives_removed(self.m_servers, row)) {
        internal::merge_later(self, row);
        return false;
    }
    return internal::merge(self, row);
}

auto handle_server_removal(core& self, const std::string& id, const fleet::store_version version) -> void {
    if (!self.m_servers.m_rows.contains(id)) {
        fleet::merge_removal(self.m_servers, id, version);
        return;
    }
    const auto remaining = internal::remaining_recovery(self);
    const auto knows_former_entries =
        self.m_store_era_since != time_point{} || steady_now() - self.m_started > store_recovery_window;
    if (remaining > duration::zero() && knows_former_entries) {
        self.m_pending_removals.insert_or_assign(id, version);
        self.m_loop.after(remaining, [&self, id, version] {
            const auto pending = self.m_pending_removals.find(id);
            if (pending == self.m_pending_removals.end() || pending->second != version) {
                return;
            }
            self.m_pending_removals.erase(pending);
            if (fleet::merge_removal(self.m_servers, id, version)) {
                self.m_events.write("server.gone", {{"server", id}, {"after_outage", true}});
                self.m_handlers.m_on_server(id);
                schedule_push(self, id);
            }
        });
        return;
    }
    if (fleet::merge_removal(self.m_servers, id, version)) {
        self.m_events.write("server.gone",
                            {{"server", id}, {"revision", static_cast<std::int64_t>(version.m_revision)}});
        self.m_handlers.m_on_server(id);
        schedule_push(self, id);
    }
}

} // namespace rhubarbwharf::node
