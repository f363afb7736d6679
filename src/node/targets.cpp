#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <node/boot_clock.hpp>
#include <node/targets.hpp>

namespace rhubarbwharf::node {

namespace internal {

/*! @brief Smallest change of the time of a write that is logged; messages between processes take less. */
constexpr duration min_logged_correction = std::chrono::milliseconds{50};

namespace {

[[nodiscard]] auto to_ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

/*! @brief Reports the time of the write of a target, which decides how long older versions may begin requests. */
auto log_target(core& self, const std::string_view event, const fleet::weights_target& target,
                const std::string_view source) -> void {
    self.m_events.write(event, {{"model", target.m_model},
                                {"version", static_cast<std::int64_t>(target.m_version)},
                                {"age_ms", to_ms(steady_now() - target.m_written_at)},
                                {"exact", target.m_has_exact_write_time},
                                {"source", source}});
}

[[nodiscard]] auto find_target(core& self, const std::string_view model, const std::uint64_t version)
    -> fleet::weights_target* {
    const auto found = std::ranges::find_if(
        self.m_weights_targets, [&](const auto& each) { return each.m_model == model && each.m_version == version; });
    return found == self.m_weights_targets.end() ? nullptr : &*found;
}

/*! @brief Merges a report into a known target, and reports a correction of its time. */
auto retime(core& self, const fleet::weights_target& known, const std::string_view source, const auto& merge) -> void {
    const auto former = known.m_written_at;
    merge();
    if (std::chrono::abs(known.m_written_at - former) >= min_logged_correction) {
        log_target(self, "weights.retimed", known, source);
    }
}

/*! @brief Returns when a state was sent. The answer to a request was sent after it, whatever has delayed it. */
[[nodiscard]] auto sending_time(core& self, const std::optional<time_point> requested_at) -> fleet::arrival_time {
    const auto arrival = arrival_now(self);
    if (!requested_at) {
        return arrival;
    }
    const auto elapsed = boot_now() - *requested_at;
    return {steady_now() - elapsed, elapsed < fleet::min_stall};
}

} // namespace

} // namespace internal

auto accept_weights_target(core& self, fleet::weights_target target, const std::string_view source) -> void {
    if (target.m_written_at == time_point{}) {
        target.m_written_at = steady_now();
    }
    if (auto* const known = internal::find_target(self, target.m_model, target.m_version)) {
        internal::retime(self, *known, source, [&] { fleet::merge_report(*known, target); });
        return;
    }
    internal::log_target(self, "weights.named", target, source);
    target.m_learned_at = steady_now();
    self.m_weights_targets.push_back(std::move(target));
    self.m_handlers.m_on_weights();
}

auto wanted_version(const core& self, const std::string_view model) -> std::uint64_t {
    std::uint64_t newest{1U};
    for (const auto& each : self.m_weights_targets) {
        newest = each.m_model == model ? std::max(newest, each.m_version) : newest;
    }
    return newest;
}

auto write_age(const core& self, const std::string_view model, const std::uint64_t version, const time_point now)
    -> std::optional<duration> {
    const auto found = std::ranges::find_if(self.m_weights_targets, [&](const auto& each) {
        return each.m_model == model && each.m_version == version && each.m_has_exact_write_time;
    });
    return found == self.m_weights_targets.end() ? std::nullopt : std::optional{now - found->m_written_at};
}

auto min_allowed_version(const core& self, const std::string_view model, const time_point now, const duration margin)
    -> std::uint64_t {
    const auto limit = std::chrono::milliseconds{self.m_settings.m_bounds.m_version_ms} - margin;
    std::uint64_t min_version{};
    for (const auto& each : self.m_weights_targets) {
        if (each.m_model == model && now - each.m_written_at >= limit) {
            min_version = std::max(min_version, each.m_version);
        }
    }
    return min_version;
}

auto is_independent(const core& self, const std::string_view region, const time_point now) -> bool {
    const auto is_other_region = [&self, now](const auto& each) {
        return each.second.m_member.is_gateway() && each.second.m_member.m_region != self.m_self.m_region &&
               now - each.second.m_last_received <= fleet::heartbeat_timeout;
    };
    if (!self.m_follows_servers || region != self.m_self.m_region) {
        return true;
    }
    // A process that stood still has heard nobody, which says nothing of the others; its peers may have stood still
    // too.
    const auto has_listened = !fleet::has_just_stalled(self.m_stalls, now, fleet::min_stall, fleet::heartbeat_timeout);
    return has_listened && std::ranges::none_of(self.m_members, is_other_region);
}

auto request_confirmation(core& self, const std::string_view region, const time_point now) -> bool {
    const auto limit = std::chrono::milliseconds{self.m_settings.m_bounds.m_version_ms};
    if (!is_independent(self, region, now)) {
        return false;
    }
    auto out = false;
    for (auto& each : self.m_weights_targets) {
        if (fleet::needs_confirmation(each, now, limit)) {
            ++each.m_confirmation_requests;
            out = true;
        }
    }
    return out;
}

auto arrival_now(core& self) -> fleet::arrival_time {
    note_running(self);
    return fleet::arrival_of(self.m_stalls, steady_now());
}

auto accept_targets(core& self, const wire::fleet::State& state, const std::string_view source,
                    const std::optional<time_point> requested_at) -> void {
    const auto sent = internal::sending_time(self, requested_at);
    const auto sender = self.m_members.find(source);
    const auto now = steady_now();
    const auto is_independent_sender =
        sender != self.m_members.end() && is_independent(self, sender->second.m_member.m_region, now);
    for (const auto& each : state.weights()) {
        const std::chrono::milliseconds age{each.age_ms()};
        auto* const known = internal::find_target(self, each.model(), each.version());
        if (!sent.m_is_exact && known != nullptr) {
            if (requested_at && each.exact()) {
                internal::retime(self, *known, source, [&] {
                    fleet::merge_delayed_report(*known, sent.m_earliest - age, now - age, is_independent_sender);
                });
            }
            continue;
        }
        fleet::weights_target target{each.model(), each.version()};
        target.m_written_at = sent.m_earliest - age;
        target.m_has_exact_write_time = each.exact() && sent.m_is_exact;
        target.m_is_confirmed = target.m_has_exact_write_time && is_independent_sender;
        accept_weights_target(self, std::move(target), source);
    }
}

auto add_targets(const core& self, wire::fleet::State& out) -> void {
    const auto now = steady_now();
    for (const auto& each : self.m_weights_targets) {
        auto* const target = out.add_weights();
        target->set_model(each.m_model);
        target->set_version(each.m_version);
        const auto age = std::chrono::ceil<std::chrono::milliseconds>(now - each.m_written_at);
        target->set_age_ms(static_cast<std::uint64_t>(age.count()));
        target->set_exact(each.m_has_exact_write_time);
    }
}

auto note_running(core& self) -> void {
    const auto now = steady_now();
    const auto found = fleet::check_running(self.m_stalls, now, boot_now() - now);
    if (found.m_length == duration::zero()) {
        return;
    }
    for (auto& each : self.m_weights_targets) {
        each.m_written_at -= found.m_suspended;
    }
    for (const auto& each : {self.m_operator_follower, self.m_server_follower}) {
        if (each) {
            each->note_suspension(found.m_suspended);
        }
    }
    if (found.m_suspended > duration::zero()) {
        self.m_handlers.m_on_suspension(found.m_suspended);
    }
    self.m_events.write("process.stalled", {{"stalled_ms", internal::to_ms(found.m_length)},
                                            {"suspended_ms", internal::to_ms(found.m_suspended)}});
    self.m_counters.add("process_stalls_total");
}

} // namespace rhubarbwharf::node
