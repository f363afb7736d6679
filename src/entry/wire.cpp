#include <entry/wire.hpp>

namespace rhubarbwharf::entry {

namespace internal {

[[nodiscard]] auto digest_of(const std::string& bytes) -> std::optional<digest> {
    return bytes.empty() ? digest{} : digest_from_bytes(bytes);
}

[[nodiscard]] auto phase_of(const wire::Phase value) noexcept -> membership::phase {
    return wire::Phase_IsValid(value) ? static_cast<membership::phase>(value) : membership::phase::unknown;
}

auto fill_place(membership::report& out, const wire::Report& news) -> void {
    out.m_region = news.region();
    out.m_data_centre = news.data_centre();
    out.m_group = news.group();
    out.m_plain_service = news.plain_service();
    out.m_bus_address = news.bus_address();
    out.m_bulk_address = news.bulk_address();
}

auto fill_load(membership::report& out, const wire::Report& news) -> void {
    out.m_running_requests = news.running();
    out.m_waiting_requests = news.waiting();
    out.m_capacity = news.capacity();
    out.m_engine_crashes = news.engine_crashes();
    out.m_cached_prefixes.assign(news.cached_prefixes().begin(), news.cached_prefixes().end());
    for (const auto& shard : news.shards()) {
        out.m_shards.push_back({shard_id{shard.shard()}, fencing_token{shard.fencing()}});
    }
}

} // namespace internal

auto report_of(const std::string_view from, const wire::Envelope& message) -> membership::report {
    const auto& news = message.report();
    membership::report out{};
    out.m_instance = from;
    out.m_incarnation = message.incarnation();
    out.m_sequence = news.sequence();
    internal::fill_place(out, news);
    internal::fill_load(out, news);
    out.m_phase = internal::phase_of(news.phase());
    out.m_model = news.model();
    out.m_manifest = internal::digest_of(news.manifest()).value_or(digest{});
    out.m_adapter = news.adapter();
    out.m_ticket = ticket_number{news.ticket()};
    out.m_chunks_held = news.chunks_held();
    out.m_chunks_total = news.chunks_total();
    out.m_ready_to_load = news.ready();
    return out;
}

auto member_of(const membership::member& row) -> wire::Member {
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
