#include <boost/json.hpp>

#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

[[nodiscard]] auto elapsed_ms(const time_point then, const time_point now) -> std::int64_t {
    return std::chrono::duration_cast<std::chrono::milliseconds>(now - then).count();
}

[[nodiscard]] auto hex_of(const digest& value) -> std::string {
    return value == digest{} ? std::string{} : to_hex(value);
}

[[nodiscard]] auto load_of(const daemon& self, const std::size_t index) -> boost::json::object {
    if (index >= self.m_backends.size()) {
        return {};
    }
    const auto& row = self.m_backends[index];
    return {{"in_flight", row.m_in_flight},
            {"load", routing::estimate_load(row)},
            {"capacity", row.m_capacity},
            {"first_byte_ms", row.m_first_byte_s * 1e3},
            {"failures", row.m_breaker.m_consecutive_failures}};
}

[[nodiscard]] auto members_of(const daemon& self, const time_point now) -> boost::json::array {
    boost::json::array list{};
    for (std::size_t index = 0; index < self.m_members.m_members.size(); ++index) {
        const auto& row = self.m_members.m_members[index];
        boost::json::array shards{};
        for (const auto& held : row.m_report.m_shards) {
            shards.push_back({{"shard", held.m_shard.value()}, {"fencing", held.m_fencing.value()}});
        }
        list.push_back({{"instance", row.m_report.m_instance},
                        {"standing", membership::to_string(row.m_status)},
                        {"phase", membership::to_string(row.m_report.m_phase)},
                        {"heard_ms_ago", elapsed_ms(row.m_last_received, now)},
                        {"region", row.m_report.m_region},
                        {"data_centre", row.m_report.m_data_centre},
                        {"group", row.m_report.m_group},
                        {"model", row.m_report.m_model},
                        {"manifest", hex_of(row.m_report.m_manifest)},
                        {"ticket", row.m_report.m_ticket.value()},
                        {"chunks_held", row.m_report.m_chunks_held},
                        {"chunks_total", row.m_report.m_chunks_total},
                        {"shards", std::move(shards)},
                        {"load", load_of(self, index)}});
    }
    return list;
}

[[nodiscard]] auto peers_of(const daemon& self, const time_point now) -> boost::json::array {
    boost::json::array list{};
    for (const auto& [name, other] : self.m_peers) {
        list.push_back({{"instance", name},
                        {"leaving", other.m_leaving},
                        {"heard_ms_ago", elapsed_ms(other.m_last_received, now)},
                        {"ticket", other.m_highest_ticket.value()},
                        {"same_state", other.m_state_digest == self.m_state_digest}});
    }
    return list;
}

[[nodiscard]] auto desired_of(const daemon& self) -> boost::json::object {
    boost::json::array scopes{};
    for (const auto& entry : self.m_desired_state.m_entries) {
        scopes.push_back({{"scope", entry.m_scope},
                          {"ticket", entry.m_ticket.value()},
                          {"model", entry.m_state.m_model},
                          {"manifest", hex_of(entry.m_state.m_manifest)},
                          {"traffic", entry.m_state.m_traffic}});
    }
    return {{"highest", ticket::highest_ticket(self.m_desired_state).value()},
            {"digest", to_hex(self.m_state_digest)},
            {"scopes", std::move(scopes)}};
}

[[nodiscard]] auto queues_of(const daemon& self) -> boost::json::array {
    boost::json::array list{};
    for (const auto& [group, queue] : self.m_queues) {
        list.push_back({{"group", group}, {"waiting", queue.m_size}});
    }
    return list;
}

[[nodiscard]] auto platform_of(const daemon& self, const time_point now) -> boost::json::object {
    const auto& counts = self.m_platform_client.counts();
    return {{"reads", counts.m_reads},
            {"writes", counts.m_writes},
            {"watches", counts.m_watches},
            {"failures", counts.m_failures},
            {"read_backs", counts.m_read_backs},
            {"answered_ms_ago", elapsed_ms(self.m_platform_client.last_answer(), now)}};
}

} // namespace internal

auto dump_tables(const daemon& self) -> std::string {
    const auto now = steady_now();
    return boost::json::serialize(boost::json::object{{"role", "entry"},
                                                      {"instance", self.m_settings.m_instance},
                                                      {"region", self.m_settings.m_region},
                                                      {"data_centre", self.m_settings.m_data_centre},
                                                      {"incarnation", self.m_incarnation},
                                                      {"leaving", self.m_leaving},
                                                      {"desired_state", internal::desired_of(self)},
                                                      {"members", internal::members_of(self, now)},
                                                      {"entries", internal::peers_of(self, now)},
                                                      {"queues", internal::queues_of(self)},
                                                      {"requests_in_progress", self.m_requests.size()},
                                                      {"retry_tokens", self.m_retry_budget.m_tokens},
                                                      {"quarantined", self.m_quarantine.m_rows.size()},
                                                      {"bus_sent_bytes", self.m_bus.sent_bytes()},
                                                      {"bus_received_bytes", self.m_bus.received_bytes()},
                                                      {"platform", internal::platform_of(self, now)}});
}

} // namespace rhubarbwharf::entry
