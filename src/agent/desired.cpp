#include <agent/desired.hpp>

namespace rhubarbwharf::agent {

auto entries_of(const wire::StatePush& push) -> std::vector<ticket::scope_entry> {
    std::vector<ticket::scope_entry> entries{};
    for (const auto& item : push.entries()) {
        const auto& state = item.state();
        const auto manifest = state.manifest().empty() ? digest{} : digest_from_bytes(state.manifest());
        if (!manifest) {
            continue;
        }
        ticket::scope_state read{state.model(), *manifest, state.adapter(), state.role(), state.traffic()};
        entries.push_back({item.scope(), ticket_number{item.ticket()}, std::move(read)});
    }
    return entries;
}

auto push_of(const ticket::desired_state& state) -> wire::StatePush {
    wire::StatePush push{};
    for (const auto& entry : state.m_entries) {
        auto& item = *push.add_entries();
        item.set_scope(entry.m_scope);
        item.set_ticket(entry.m_ticket.value());
        auto& out = *item.mutable_state();
        out.set_model(entry.m_state.m_model);
        out.set_manifest(std::string{as_bytes(entry.m_state.m_manifest)});
        out.set_adapter(entry.m_state.m_adapter);
        out.set_role(entry.m_state.m_role);
        out.set_traffic(entry.m_state.m_traffic);
    }
    const auto own = ticket::fingerprint(state);
    push.set_digest(std::string{as_bytes(own)});
    push.set_whole(true);
    return push;
}

} // namespace rhubarbwharf::agent
