#include <rhubarbwharf/wire/state.hpp>

#include <rhubarbwharf.pb.h>

namespace rhubarbwharf::wire {

auto decode_entries(const StatePush& push) -> std::vector<ticket::scope_entry> {
    std::vector<ticket::scope_entry> entries{};
    for (const auto& entry : push.entries()) {
        const auto& state = entry.state();
        const auto manifest = state.manifest().empty() ? digest{} : digest_from_bytes(state.manifest());
        if (manifest && !entry.scope().empty()) {
            entries.push_back({entry.scope(),
                               ticket_number{entry.ticket()},
                               {state.model(), *manifest, state.adapter(), state.role(), state.traffic()}});
        }
    }
    return entries;
}

auto append_entries(StatePush& push, const std::span<const ticket::scope_entry> entries) -> void {
    for (const auto& entry : entries) {
        auto& encoded = *push.add_entries();
        encoded.set_scope(entry.m_scope);
        encoded.set_ticket(entry.m_ticket.value());
        auto& state = *encoded.mutable_state();
        state.set_model(entry.m_state.m_model);
        if (entry.m_state.m_manifest != digest{}) {
            state.set_manifest(std::string{as_bytes(entry.m_state.m_manifest)});
        }
        state.set_adapter(entry.m_state.m_adapter);
        state.set_role(entry.m_state.m_role);
        state.set_traffic(entry.m_state.m_traffic);
    }
}

} // namespace rhubarbwharf::wire
