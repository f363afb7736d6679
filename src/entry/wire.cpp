#include <entry/wire.hpp>

namespace rhubarbwharf::entry {

namespace internal {

[[nodiscard]] auto digest_of(const std::string& bytes) -> std::optional<digest> {
    return bytes.empty() ? digest{} : digest_from_bytes(bytes);
}

[[nodiscard]] auto phase_of(const wire::Phase value) noexcept -> membership::phase {
    return wire::Phase_IsValid(value) ? static_cast<membership::phase>(value) : membership::phase::unknown;
}

auto read_location(membership::report& out, const wire::Report& report) -> void {
    out.m_region = report.region();
    out.m_data_centre = report.data_centre();
    out.m_group = report.group();
    out.m_plain_service = report.plain_service();
    out.m_bus_address = report.bus_address();
    out.m_bulk_address = report.bulk_address();
}

auto read_load(membership::report& out, const wire::Report& report) -> void {
    out.m_running_requests = report.running();
    out.m_waiting_requests = report.waiting();
    out.m_capacity = report.capacity();
    out.m_engine_crashes = report.engine_crashes();
    out.m_cached_prefixes.assign(report.cached_prefixes().begin(), report.cached_prefixes().end());
    for (const auto& shard : report.shards()) {
        out.m_shards.push_back({shard_id{shard.shard()}, fencing_token{shard.fencing()}});
    }
}

} // namespace internal

auto report_of(const std::string_view from, const wire::Envelope& message) -> membership::report {
    const auto& report = message.report();
    membership::report out{};
    out.m_instance = from;
    out.m_incarnation = message.incarnation();
    out.m_sequence = report.sequence();
    internal::read_location(out, report);
    internal::read_load(out, report);
    out.m_phase = internal::phase_of(report.phase());
    out.m_model = report.model();
    out.m_manifest = internal::digest_of(report.manifest()).value_or(digest{});
    out.m_adapter = report.adapter();
    out.m_ticket = ticket_number{report.ticket()};
    out.m_chunks_held = report.chunks_held();
    out.m_chunks_total = report.chunks_total();
    out.m_ready_to_load = report.ready();
    return out;
}

auto encode_member(const membership::member& row) -> wire::Member {
    wire::Member out{};
    out.set_instance(row.m_report.m_instance);
    out.set_region(row.m_report.m_region);
    out.set_data_centre(row.m_report.m_data_centre);
    out.set_group(row.m_report.m_group);
    out.set_bus_address(row.m_report.m_bus_address);
    out.set_bulk_address(row.m_report.m_bulk_address);
    out.set_leaving(row.m_status == membership::member_status::leaving);
    out.set_phase(static_cast<wire::Phase>(row.m_report.m_phase));
    out.set_ticket(row.m_report.m_ticket.value());
    out.set_ready(row.m_report.m_ready_to_load);
    return out;
}

} // namespace rhubarbwharf::entry
