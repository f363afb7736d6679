#include <algorithm>
#include <limits>

#include <fleet.pb.h>
#include <gateway/crash_records.hpp>
#include <gateway/parts.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

namespace {

/*! @brief Requests that one state tells, at most: some 20 KB with the counts of a few gateways each. */
constexpr std::size_t max_told_requests = 256U;

/*! @brief Backend servers, over all gateways, that have crashed under a request from which it is refused. A harmless
 * request that runs beside a crashing one twice stays one crash below it. */
constexpr std::uint32_t crash_quarantine_threshold = 3U;
/*! @brief Time in which a server whose connection broke can show that it lives. */
constexpr duration crash_confirmation_time = std::chrono::seconds{1};
/*! @brief Source of the counts that no server crash stands for: a gateway records none. */
constexpr std::uint64_t no_source = 0U;

/*! @brief Notes that a request got a complete answer. @return Whether anything spoke against it. */
auto remove_record(daemon& self, const std::uint64_t content, const std::string_view source) -> bool {
    if (!routing::remove_crashes(self.m_quarantine, content)) {
        return false;
    }
    self.m_core.m_events.write("request.exculpated", {{"source", source}});
    return true;
}

[[nodiscard]] auto from_wire(const wire::fleet::CrashedRequest& value) -> routing::crash_report {
    const auto remaining =
        std::min<duration>(std::chrono::milliseconds{value.remaining_ms()}, crash_attribution_retention);
    routing::crash_report out{value.content(), remaining, {}};
    for (const auto& each : value.counts()) {
        out.m_counts.push_back({each.source(), each.crashes()});
    }
    return out;
}

auto to_wire(const routing::crash_report& report, wire::fleet::CrashedRequest& out) -> void {
    const auto remaining_ms = std::chrono::duration_cast<std::chrono::milliseconds>(report.m_remaining).count();
    out.set_content(report.m_digest);
    out.set_remaining_ms(static_cast<std::uint32_t>(remaining_ms));
    for (const auto& each : report.m_counts) {
        auto* const count = out.add_counts();
        count->set_source(each.m_source);
        count->set_crashes(each.m_crashes);
    }
}

} // namespace

} // namespace internal

auto add_crash_records(const daemon& self, wire::fleet::State& out) -> void {
    const auto reports =
        routing::list_crashes(self.m_quarantine, internal::no_source, steady_now(), internal::max_told_requests);
    for (const auto& each : reports) {
        internal::to_wire(each, *out.add_crashed_requests());
    }
    add_part_records(self, out);
}

auto accept_crash_records(daemon& self, const std::string_view source, const wire::fleet::State& state) -> void {
    const auto now = steady_now();
    std::int64_t increased{};
    for (const auto& each : state.crashed_requests()) {
        const auto report = internal::from_wire(each);
        increased += routing::merge_report(self.m_quarantine, report, internal::no_source, now) ? 1 : 0;
    }
    if (increased > 0) {
        self.m_core.m_events.write("crashes.told", {{"requests", increased}, {"source", source}});
    }
    if (state.has_parts()) {
        on_part_news(self, source, state.parts());
    }
}

auto attribute_crash(daemon& self, const exchange& item, const std::shared_ptr<dispatch::server_load>& backend)
    -> void {
    const auto broke_at = steady_now();
    self.m_core.m_loop.after(internal::crash_confirmation_time, [&self, id = item.m_attempt_id,
                                                                 content = item.m_content_digest, backend, broke_at] {
        if (dispatch::has_lived_since(*backend, broke_at)) {
            self.m_core.m_events.write("request.not_blamed", {{"id", id}, {"server", backend->m_id}});
            return;
        }
        const auto server = incarnation_of(*backend).value();
        const auto now = steady_now();
        if (!routing::record_server_crash(self.m_quarantine, content, server, now + crash_attribution_retention)) {
            return;
        }
        const auto crashes = routing::count_crashes(self.m_quarantine, content, now);
        self.m_core.m_events.write(
            "request.blamed", {{"id", id}, {"server", backend->m_id}, {"crashes", static_cast<std::int64_t>(crashes)}});
        wire::fleet::Frame frame{};
        frame.mutable_blame()->set_content(content);
        frame.mutable_blame()->set_server(server);
        node::send_to_gateways(self.m_core, frame);
    });
}

auto exculpate(daemon& self, const exchange& item) -> void {
    const auto is_resumed =
        item.m_has_lost_connection || !net::find(item.m_request.m_headers, adapter::field::last_event).empty();
    if (is_resumed || !internal::remove_record(self, item.m_content_digest, item.m_attempt_id)) {
        return;
    }
    wire::fleet::Frame frame{};
    frame.mutable_blame()->set_content(item.m_content_digest);
    frame.mutable_blame()->set_answered(true);
    node::send_to_gateways(self.m_core, frame);
}

auto has_crashed(const daemon& self, const exchange& item, const time_point now) -> bool {
    return has_crashed_part(self, item) || routing::count_crashes(self.m_quarantine, item.m_content_digest, now) > 0U;
}

auto admit_content(daemon& self, const std::shared_ptr<exchange>& item) -> bool {
    const auto crashes = routing::count_crashes(self.m_quarantine, item->m_content_digest, steady_now());
    if (crashes < internal::crash_quarantine_threshold) {
        return true;
    }
    end_with_response(self, item,
                      refusal_response(503U, "the request has crashed backend servers", std::chrono::seconds{2}),
                      "quarantined");
    return false;
}

auto on_crash_report(daemon& self, const wire::fleet::Blame& report) -> void {
    if (report.answered()) {
        internal::remove_record(self, report.content(), "peer");
    } else if (report.server() != 0U) {
        routing::record_server_crash(self.m_quarantine, report.content(), report.server(),
                                     steady_now() + crash_attribution_retention);
    }
}

auto send_crash_records(daemon& self, const std::string& gateway) -> void {
    const auto& members = self.m_core.m_members;
    const auto& own = self.m_core.m_self;
    const auto row = members.find(gateway);
    const auto is_local = row != members.end() && row->second.m_member.m_region == own.m_region;
    if (!is_local || !fleet::is_representative(members, own, steady_now())) {
        return;
    }
    wire::fleet::Frame frame{};
    add_crash_records(self, *frame.mutable_state());
    if (frame.state().crashed_requests().empty() && !frame.state().has_parts()) {
        return;
    }
    node::connect_to_gateway(self.m_core, gateway);
    node::send(self.m_core, gateway, frame);
}

} // namespace rhubarbwharf::gateway
