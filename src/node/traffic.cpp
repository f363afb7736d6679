#include <node/traffic.hpp>

namespace rhubarbwharf::node::internal {

auto frame_kind(const wire::fleet::Frame& frame) noexcept -> std::string_view {
    switch (frame.body_case()) {
    case wire::fleet::Frame::kPulse:
        return "pulse";
    case wire::fleet::Frame::kPull:
        return "pull";
    case wire::fleet::Frame::kState:
        return frame.state().configuration().empty() ? "state" : "state_with_configuration";
    case wire::fleet::Frame::kLoad:
    case wire::fleet::Frame::kRegionLoads:
        return "load";
    default:
        return "other";
    }
}

auto count_sent(core& self, const std::string_view kind, const std::size_t bytes) -> void {
    self.m_counters.add("peer_frames_sent_total", 1.0, kind);
    self.m_counters.add("peer_bytes_sent_total", static_cast<double>(bytes), kind);
}

auto count_read(core& self, const std::string_view prefix, const std::size_t bytes) -> void {
    self.m_counters.add("store_reads_with_values_total", 1.0, prefix);
    self.m_counters.add("store_value_bytes_total", static_cast<double>(bytes), prefix);
}

} // namespace rhubarbwharf::node::internal
