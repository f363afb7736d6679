#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

auto note_suspension(daemon& self, const duration suspended) -> void {
    for (auto& [id, item] : self.m_exchanges) {
        item->m_arrived_at -= suspended;
        item->m_first_byte_deadline -= suspended;
        item->m_deadline -= suspended;
    }
    for (auto& [name, service] : self.m_services) {
        for (auto& each : service.m_queue.m_waiting) {
            each.m_arrived -= suspended;
            each.m_on_time_deadline -= suspended;
            each.m_send_deadline -= suspended;
        }
    }
    if (self.m_leaving_since != time_point::max()) {
        self.m_leaving_since -= suspended;
    }
}

} // namespace rhubarbwharf::gateway
