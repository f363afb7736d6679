#include <entry/daemon.hpp>
#include <entry/wire.hpp>
#include <rhubarbwharf/membership/rendezvous.hpp>

namespace rhubarbwharf::entry {

namespace internal {

/*! @brief Time after which an agent is told the sequence again, though nothing changed. */
constexpr duration tell_again = std::chrono::seconds{5};

/*! @brief What changed in the list since it was told last. */
struct list_change {
    std::vector<wire::Member> m_rows{};
    /*! @brief Whether a member is off the list, which only a whole list tells. */
    bool m_shrunk{};
};

[[nodiscard]] auto is_on_list(const daemon& self, const membership::member& row, const time_point now) -> bool {
    return !row.m_report.m_plain_service && membership::is_retained(row, now, self.m_bounds);
}

[[nodiscard]] auto take_change(daemon& self, const time_point now) -> list_change {
    list_change change{};
    auto& rows = self.m_spread.m_rows;
    rows.resize(self.m_members.m_members.size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const auto& row = self.m_members.m_members[index];
        if (!is_on_list(self, row, now)) {
            change.m_shrunk = change.m_shrunk || !rows[index].empty();
            rows[index].clear();
            continue;
        }
        auto message = member_of(row);
        auto bytes = message.SerializeAsString();
        if (bytes != rows[index]) {
            rows[index] = std::move(bytes);
            change.m_rows.push_back(std::move(message));
        }
    }
    return change;
}

[[nodiscard]] auto whole_list(const daemon& self, const time_point now) -> wire::Envelope {
    auto message = envelope(self);
    auto& out = *message.mutable_members();
    out.set_sequence(self.m_spread.m_sequence);
    out.set_whole(true);
    for (const auto& row : self.m_members.m_members) {
        if (is_on_list(self, row, now)) {
            *out.add_members() = member_of(row);
        }
    }
    return message;
}

[[nodiscard]] auto changed_list(const daemon& self, const list_change& change) -> wire::Envelope {
    auto message = envelope(self);
    auto& out = *message.mutable_members();
    out.set_sequence(self.m_spread.m_sequence);
    for (const auto& row : change.m_rows) {
        *out.add_members() = row;
    }
    return message;
}

/*! @brief Live entries, this one among them. */
struct live_entries {
    std::vector<std::string_view> m_all{};
    std::unordered_map<std::string_view, std::vector<std::string_view>> m_by_data_centre{};
};

[[nodiscard]] auto find_live(const daemon& self, const time_point now) -> live_entries {
    live_entries live{};
    const auto add = [&live](const std::string_view name, const std::string_view data_centre) {
        live.m_all.push_back(name);
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

/*! @brief The entry that tells an agent: one of its own data centre, or of all if none is live there. */
[[nodiscard]] auto teller(const live_entries& live, const membership::report& agent) -> std::string_view {
    const auto near = live.m_by_data_centre.find(agent.m_data_centre);
    const auto& candidates = near == live.m_by_data_centre.end() ? live.m_all : near->second;
    return membership::rendezvous_select(candidates, agent.m_instance);
}

/*! @brief The two messages of one round, made when first needed. */
struct round {
    bool m_has_changed{};
    wire::Envelope m_changed{};
    std::optional<wire::Envelope> m_whole{};
};

auto tell(daemon& self, const std::string& agent, round& messages, const time_point now) -> void {
    auto& told = self.m_spread.m_told[agent];
    const auto has_changed = messages.m_has_changed;
    const auto sequence = self.m_spread.m_sequence;
    const auto follows = told.m_sequence != 0U && told.m_sequence + (has_changed ? 1U : 0U) == sequence;
    if (follows && !has_changed && now - told.m_when < tell_again) {
        return;
    }
    if (!follows && !messages.m_whole) {
        messages.m_whole = whole_list(self, now);
    }
    if (send(self, agent, follows ? messages.m_changed : *messages.m_whole) == code::ok) {
        told = {sequence, now};
    }
}

} // namespace internal

auto spread_members(daemon& self, const time_point now) -> void {
    const auto change = internal::take_change(self, now);
    const auto has_changed = !change.m_rows.empty() || change.m_shrunk;
    self.m_spread.m_sequence += has_changed || self.m_spread.m_sequence == 0U ? 1U : 0U;
    if (change.m_shrunk) {
        self.m_spread.m_told.clear();
    }
    internal::round messages{has_changed, internal::changed_list(self, change), {}};
    const auto live = internal::find_live(self, now);
    for (const auto& row : self.m_members.m_members) {
        const auto& agent = row.m_report.m_instance;
        const auto is_reached = row.m_status != membership::member_status::suspected;
        const auto is_own = internal::teller(live, row.m_report) == self.m_settings.m_instance;
        if (is_reached && is_own && internal::is_on_list(self, row, now)) {
            internal::tell(self, agent, messages, now);
        } else {
            self.m_spread.m_told.erase(agent);
        }
    }
}

auto forget_told(daemon& self, const std::string_view agent) -> void {
    self.m_spread.m_told.erase(std::string{agent});
}

} // namespace rhubarbwharf::entry
