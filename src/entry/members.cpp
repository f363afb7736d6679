#include <entry/daemon.hpp>
#include <entry/wire.hpp>
#include <rhubarbwharf/membership/rendezvous.hpp>

namespace rhubarbwharf::entry {

namespace internal {

/*! @brief Interval at which an agent gets the current sequence number even if the list has not changed. */
constexpr duration member_list_resend_interval = std::chrono::seconds{5};

/*! @brief Changes of the list since it was last sent. */
struct list_change {
    std::vector<wire::Member> m_rows{};
    /*! @brief Whether a member was removed, which only a full list can express. */
    bool m_has_removals{};
};

[[nodiscard]] auto is_listed(const daemon& self, const membership::member& row, const time_point now) -> bool {
    return !row.m_report.m_plain_service && membership::is_retained(row, now, self.m_member_limits);
}

[[nodiscard]] auto update_sent_rows(daemon& self, const time_point now) -> list_change {
    list_change change{};
    auto& rows = self.m_member_list.m_sent_rows;
    rows.resize(self.m_members.m_members.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const auto& row = self.m_members.m_members[index];
        if (!is_listed(self, row, now)) {
            change.m_has_removals = change.m_has_removals || !rows[index].empty();
            rows[index].clear();
            continue;
        }
        auto message = encode_member(row);
        auto bytes = message.SerializeAsString();
        if (bytes != rows[index]) {
            rows[index] = std::move(bytes);
            change.m_rows.push_back(std::move(message));
        }
    }
    return change;
}

[[nodiscard]] auto make_full_list(const daemon& self, const time_point now) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& out = *message.mutable_members();
    out.set_sequence(self.m_member_list.m_sequence);
    out.set_whole(true);
    for (const auto& row : self.m_members.m_members) {
        if (is_listed(self, row, now)) {
            *out.add_members() = encode_member(row);
        }
    }
    return message;
}

[[nodiscard]] auto make_list_update(const daemon& self, const list_change& change) -> wire::Envelope {
    auto message = make_envelope(self);
    auto& out = *message.mutable_members();
    out.set_sequence(self.m_member_list.m_sequence);
    for (const auto& row : change.m_rows) {
        *out.add_members() = row;
    }
    return message;
}

/*! @brief Entries that are neither silent nor leaving, and this one. */
struct live_entries {
    std::vector<std::string_view> m_entries{};
    std::unordered_map<std::string_view, std::vector<std::string_view>> m_by_data_centre{};
};

[[nodiscard]] auto find_live_entries(const daemon& self, const time_point now) -> live_entries {
    live_entries live{};
    const auto add = [&live](const std::string_view name, const std::string_view data_centre) {
        live.m_entries.push_back(name);
        live.m_by_data_centre[data_centre].push_back(name);
    };
    add(self.m_settings.m_instance, self.m_settings.m_data_centre);
    for (const auto& [name, other] : self.m_peers) {
        if (!other.m_leaving && !is_silent(self, other, now)) {
            add(name, other.m_settings.m_data_centre);
        }
    }
    return live;
}

/*! @brief Chooses the entry that sends the list to an agent: a live one of the agent's data centre, or of any data
 * centre if there is none. All entries with the same view choose the same one. */
[[nodiscard]] auto find_responsible_entry(const live_entries& live, const membership::report& agent)
    -> std::string_view {
    const auto local = live.m_by_data_centre.find(agent.m_data_centre);
    const auto& candidates = local == live.m_by_data_centre.end() ? live.m_entries : local->second;
    return membership::rendezvous_select(candidates, agent.m_instance);
}

/*! @brief Messages shared by all agents in one round of updates; the full list is made on first use. */
struct list_messages {
    bool m_has_changes{};
    wire::Envelope m_update{};
    std::optional<wire::Envelope> m_full_list{};
};

auto send_list(daemon& self, const std::string& agent, list_messages& messages, const time_point now) -> void {
    auto& last_update = self.m_member_list.m_last_updates[agent];
    const auto has_changes = messages.m_has_changes;
    const auto sequence = self.m_member_list.m_sequence;
    const auto update_suffices =
        last_update.m_sequence != 0U && last_update.m_sequence + (has_changes ? 1U : 0U) == sequence;
    if (update_suffices && !has_changes && now - last_update.m_sent < member_list_resend_interval) {
        return;
    }
    if (!update_suffices && !messages.m_full_list) {
        messages.m_full_list = make_full_list(self, now);
    }
    if (send(self, agent, update_suffices ? messages.m_update : *messages.m_full_list) == code::ok) {
        last_update = {sequence, now};
    }
}

} // namespace internal

auto push_member_list(daemon& self, const time_point now) -> void {
    const auto change = internal::update_sent_rows(self, now);
    const auto has_changes = !change.m_rows.empty() || change.m_has_removals;
    self.m_member_list.m_sequence += has_changes || self.m_member_list.m_sequence == 0U ? 1U : 0U;
    if (change.m_has_removals) {
        self.m_member_list.m_last_updates.clear();
    }
    internal::list_messages messages{has_changes, internal::make_list_update(self, change), {}};
    const auto live = internal::find_live_entries(self, now);
    for (const auto& row : self.m_members.m_members) {
        const auto& agent = row.m_report.m_instance;
        const auto is_reachable = row.m_status != membership::member_status::suspected;
        const auto is_responsible = internal::find_responsible_entry(live, row.m_report) == self.m_settings.m_instance;
        if (is_reachable && is_responsible && internal::is_listed(self, row, now)) {
            internal::send_list(self, agent, messages, now);
        } else {
            self.m_member_list.m_last_updates.erase(agent);
        }
    }
}

auto schedule_full_member_list(daemon& self, const std::string_view agent) -> void {
    self.m_member_list.m_last_updates.erase(std::string{agent});
}

} // namespace rhubarbwharf::entry
