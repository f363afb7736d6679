#include <algorithm>
#include <utility>

#include <fleet.pb.h>
#include <gateway/parts.hpp>
#include <platform/decode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Parts of crashes that one state tells, at most: 32 KB. */
constexpr std::size_t max_told_parts = 4096U;
/*! @brief Parts in one log line, at most. */
constexpr std::size_t max_logged_parts = 8U;

[[nodiscard]] auto hex(const routing::part_id part) -> std::string {
    constexpr std::string_view digits = "0123456789abcdef";
    constexpr auto bits_per_digit = 4U;
    std::string out(sizeof(part.value()) * 2U, '0');
    auto value = part.value();
    for (auto each = out.rbegin(); each != out.rend(); ++each) {
        *each = digits[value % digits.size()];
        value >>= bits_per_digit;
    }
    return out;
}

[[nodiscard]] auto list_parts(const std::span<const routing::part_id> parts) -> std::string {
    std::string out{};
    for (const auto part : parts.first(std::min(parts.size(), max_logged_parts))) {
        out += (out.empty() ? "" : " ") + hex(part);
    }
    return out;
}

/*! @brief Requests of this gateway at one backend server. */
struct requests_at_server {
    unsigned m_begun{};
    unsigned m_not_begun{};
    /*! @brief Parts of those that have not begun. */
    std::vector<routing::part_id> m_parts{};
};

[[nodiscard]] auto find_requests(const daemon& self, const dispatch::server_load& backend) -> requests_at_server {
    requests_at_server out{};
    for (const auto& [id, item] : self.m_exchanges) {
        for (const auto& each : {item->m_attempt, item->m_hedge}) {
            if (!each || each->m_backend.get() != &backend) {
                continue;
            }
            if (each->m_deliveries >= begun_deliveries) {
                ++out.m_begun;
                continue;
            }
            ++out.m_not_begun;
            for (const auto part : item->m_parts) {
                if (std::ranges::find(out.m_parts, part) == out.m_parts.end()) {
                    out.m_parts.push_back(part);
                }
            }
        }
    }
    return out;
}

[[nodiscard]] auto to_ms(const duration time) noexcept -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

[[nodiscard]] auto from_wire(const google::protobuf::RepeatedField<std::uint64_t>& parts)
    -> std::vector<routing::part_id> {
    std::vector<routing::part_id> out{};
    for (const auto each : parts) {
        out.emplace_back(each);
    }
    return out;
}

auto add_held(const routing::held_parts& held, const time_point now, wire::fleet::PartNews& out) -> void {
    auto* const added = out.add_held();
    for (const auto part : held.m_parts) {
        added->add_parts(part.value());
    }
    added->set_remaining_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, to_ms(held.m_until - now))));
    added->set_holds(held.m_holds);
    added->set_server(held.m_server.value());
}

auto log_held(daemon& self, const routing::held_parts& held, const std::string_view source) -> void {
    self.m_core.m_events.write(
        "part.held",
        {{"parts", list_parts(held.m_parts)},
         {"crashes", static_cast<std::int64_t>(routing::count_crashes(self.m_parts, held.m_parts.front()))},
         {"holds", static_cast<std::int64_t>(held.m_holds)},
         {"for_ms", to_ms(held.m_until - steady_now())},
         {"source", source}});
    self.m_core.m_counters.add("parts_held_total");
    self.m_core.m_counters.set("parts_held", static_cast<double>(self.m_parts.m_held.size()));
}

auto log_suspects(daemon& self, const std::span<const routing::part_id> parts, const std::string_view source) -> void {
    for (const auto part : parts) {
        if (const auto crashes = routing::count_crashes(self.m_parts, part); crashes == routing::suspect_crashes) {
            self.m_core.m_events.write(
                "part.suspected",
                {{"part", hex(part)}, {"crashes", static_cast<std::int64_t>(crashes)}, {"source", source}});
        }
    }
}

auto clear_parts(daemon& self, const std::span<const routing::part_id> parts, const std::string_view source)
    -> std::vector<routing::part_id> {
    auto cleared = routing::add_served(self.m_parts, parts, steady_now());
    if (!cleared.empty()) {
        self.m_core.m_events.write("part.cleared", {{"parts", list_parts(cleared)}, {"source", source}});
        self.m_core.m_counters.set("parts_held", static_cast<double>(self.m_parts.m_held.size()));
    }
    return cleared;
}

[[nodiscard]] auto part_frame() -> wire::fleet::Frame {
    wire::fleet::Frame out{};
    out.mutable_parts();
    return out;
}

auto begin_trial(daemon& self, exchange& item, std::vector<routing::part_id> parts) -> void {
    item.m_trial_parts = std::move(parts);
    routing::begin_trial(self.m_parts, item.m_trial_parts, steady_now());
    auto frame = part_frame();
    for (const auto part : item.m_trial_parts) {
        frame.mutable_parts()->add_trials(part.value());
    }
    node::send_to_gateways(self.m_core, frame);
    self.m_core.m_events.write("part.trial", {{"id", item.m_attempt_id}, {"parts", list_parts(item.m_trial_parts)}});
    self.m_core.m_counters.add("part_trials_total");
}

/*! @brief Tells the other gateways that a trial has ended without an outcome. */
auto tell_ended_trial(daemon& self, const std::span<const routing::part_id> parts) -> void {
    auto frame = part_frame();
    for (const auto part : parts) {
        frame.mutable_parts()->add_ended_trials(part.value());
    }
    node::send_to_gateways(self.m_core, frame);
}

/*! @brief Holds the parts of a trial back whose backend server has ended. */
auto hold_parts(daemon& self, exchange& item, const routing::incarnation_id server) -> void {
    const auto now = steady_now();
    const auto parts = std::exchange(item.m_trial_parts, {});
    const auto held = routing::hold(self.m_parts, parts, server, now);
    if (held.m_parts.empty()) {
        tell_ended_trial(self, parts);
        return;
    }
    log_held(self, held, item.m_attempt_id);
    auto frame = part_frame();
    add_held(held, now, *frame.mutable_parts());
    node::send_to_gateways(self.m_core, frame);
}

} // namespace

} // namespace internal

auto incarnation_of(const dispatch::server_load& backend) -> routing::incarnation_id {
    return routing::incarnation_id{short_digest(backend.m_id + '\n' + std::to_string(backend.m_started_ms))};
}

auto shared_parts(const std::string_view model, const std::string_view header) -> std::vector<routing::part_id> {
    std::vector<routing::part_id> out{};
    const auto ids = adapter::decode_prompt_parts(header);
    for (std::size_t index = 0U; index + 1U < ids.size(); ++index) {
        out.emplace_back(short_digest(std::string{model} + '\n' + std::string{ids[index]}));
    }
    return out;
}

auto admit_parts(daemon& self, const std::shared_ptr<exchange>& item) -> bool {
    if (item->m_parts.empty() || item->m_has_begun || !item->m_trial_parts.empty()) {
        return true;
    }
    auto admission = routing::admit(self.m_parts, item->m_parts, steady_now());
    if (admission.m_decision == routing::part_decision::admit) {
        return true;
    }
    if (admission.m_decision == routing::part_decision::trial) {
        internal::begin_trial(self, *item, std::move(admission.m_parts));
        return true;
    }
    const std::string_view reason =
        admission.m_is_held ? "a part of the prompt has ended backend servers" : "a part of the prompt is on trial";
    self.m_core.m_events.write("part.refused", {{"id", item->m_attempt_id},
                                                {"reason", reason},
                                                {"parts", internal::list_parts(admission.m_parts)},
                                                {"return_ms", internal::to_ms(admission.m_retry_after)}});
    self.m_core.m_counters.add("part_refusals_total", 1.0, admission.m_is_held ? "held" : "trial");
    end_with_response(self, item, refusal_response(503U, reason, admission.m_retry_after), reason);
    return false;
}

auto has_crashed_part(const daemon& self, const exchange& item) -> bool {
    return std::ranges::any_of(
        item.m_parts, [&self](const routing::part_id part) { return routing::count_crashes(self.m_parts, part) > 0U; });
}

auto on_server_crash(daemon& self, exchange& item, const attempt& ended) -> void {
    const auto& backend = *ended.m_backend;
    const auto server = incarnation_of(backend);
    const auto found = internal::find_requests(self, backend);
    const auto recorded = routing::add_crash(self.m_parts, server, found.m_parts, steady_now());
    self.m_core.m_events.write("server.crashed", {{"server", backend.m_id},
                                                  {"begun", static_cast<std::int64_t>(found.m_begun)},
                                                  {"not_begun", static_cast<std::int64_t>(found.m_not_begun)},
                                                  {"parts", internal::list_parts(recorded)}});
    if (!recorded.empty()) {
        auto frame = internal::part_frame();
        auto* const crash = frame.mutable_parts()->add_crashes();
        crash->set_server(server.value());
        for (const auto part : recorded) {
            crash->add_parts(part.value());
        }
        node::send_to_gateways(self.m_core, frame);
        internal::log_suspects(self, recorded, backend.m_id);
    }
    if (!item.m_trial_parts.empty() && ended.m_deliveries < begun_deliveries) {
        internal::hold_parts(self, item, server);
    }
}

auto on_server_alive(daemon& self, const dispatch::server_load& backend) -> void {
    if (self.m_parts.m_crashes.empty()) {
        return;
    }
    const auto server = incarnation_of(backend);
    if (!routing::remove_crash(self.m_parts, server, steady_now())) {
        return;
    }
    routing::withdraw_server_crash(self.m_quarantine, server.value());
    auto frame = internal::part_frame();
    frame.mutable_parts()->add_alive(server.value());
    node::send_to_gateways(self.m_core, frame);
    self.m_core.m_events.write("server.crash_withdrawn", {{"server", backend.m_id}});
}

auto on_delivery(daemon& self, exchange& item, attempt& current, const bool is_complete) -> void {
    const auto had_begun = current.m_deliveries >= begun_deliveries;
    current.m_deliveries = is_complete ? begun_deliveries : std::min(current.m_deliveries + 1U, begun_deliveries);
    if (had_begun || current.m_deliveries < begun_deliveries || item.m_parts.empty()) {
        return;
    }
    item.m_has_begun = true;
    const auto was_trial = !std::exchange(item.m_trial_parts, {}).empty();
    const auto cleared = internal::clear_parts(self, item.m_parts, item.m_attempt_id);
    if (cleared.empty() && !was_trial) {
        return;
    }
    auto frame = internal::part_frame();
    for (const auto part : item.m_parts) {
        frame.mutable_parts()->add_served(part.value());
    }
    node::send_to_gateways(self.m_core, frame);
}

auto end_trial(daemon& self, exchange& item) -> void {
    if (item.m_trial_parts.empty()) {
        return;
    }
    const auto parts = std::exchange(item.m_trial_parts, {});
    routing::end_trial(self.m_parts, parts);
    internal::tell_ended_trial(self, parts);
}

auto on_part_news(daemon& self, const std::string_view peer, const wire::fleet::PartNews& news) -> void {
    const auto now = steady_now();
    for (const auto& each : news.crashes()) {
        const auto added =
            routing::add_crash(self.m_parts, routing::incarnation_id{each.server()}, internal::from_wire(each.parts()),
                               now - std::chrono::milliseconds{each.age_ms()});
        internal::log_suspects(self, added, peer);
    }
    for (const auto each : news.alive()) {
        static_cast<void>(routing::remove_crash(self.m_parts, routing::incarnation_id{each}, time_point::max()));
        routing::withdraw_server_crash(self.m_quarantine, each);
    }
    routing::begin_trial(self.m_parts, internal::from_wire(news.trials()), now);
    routing::end_trial(self.m_parts, internal::from_wire(news.ended_trials()));
    for (const auto& each : news.held()) {
        const routing::held_parts held{internal::from_wire(each.parts()),
                                       now + std::chrono::milliseconds{each.remaining_ms()}, each.holds(),
                                       routing::incarnation_id{each.server()}};
        if (routing::merge_hold(self.m_parts, held)) {
            internal::log_held(self, held, peer);
        }
    }
    static_cast<void>(internal::clear_parts(self, internal::from_wire(news.served()), peer));
}

auto send_verdicts(daemon& self, const std::string& peer) -> void {
    if (self.m_parts.m_held.empty()) {
        return;
    }
    auto frame = internal::part_frame();
    for (const auto& each : self.m_parts.m_held) {
        internal::add_held(each, steady_now(), *frame.mutable_parts());
    }
    if (peer.empty()) {
        node::send_to_gateways(self.m_core, frame);
    } else {
        node::connect_to_gateway(self.m_core, peer);
        node::send(self.m_core, peer, frame);
    }
}

auto add_part_records(const daemon& self, wire::fleet::State& out) -> void {
    const auto now = steady_now();
    for (const auto& each : self.m_parts.m_held) {
        internal::add_held(each, now, *out.mutable_parts());
    }
    std::size_t told_parts{};
    for (const auto& [server, crash] : self.m_parts.m_crashes) {
        told_parts += crash.m_parts.size();
        if (crash.m_parts.empty() || told_parts > internal::max_told_parts) {
            continue;
        }
        auto* const added = out.mutable_parts()->add_crashes();
        added->set_server(server.value());
        added->set_age_ms(static_cast<std::uint32_t>(std::max<std::int64_t>(0, internal::to_ms(now - crash.m_at))));
        for (const auto part : crash.m_parts) {
            added->add_parts(part.value());
        }
    }
}

auto refresh_parts(daemon& self, const time_point now) -> void {
    routing::evict_expired(self.m_parts, now);
    if (now - self.m_last_parts_sent >= verdict_interval) {
        self.m_last_parts_sent = now;
        send_verdicts(self, {});
    }
}

} // namespace rhubarbwharf::gateway
