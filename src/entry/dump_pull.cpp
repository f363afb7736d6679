#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr duration dump_timeout = std::chrono::seconds{5};

auto fail_pending_dump(daemon& self, const std::uint64_t number) -> void {
    const auto found = self.m_pending_dumps.find(number);
    if (found == self.m_pending_dumps.end()) {
        return;
    }
    found->second->respond(net::problem(code::timed_out, outcome::not_run, "the instance does not answer", {}));
    self.m_pending_dumps.erase(found);
}

[[nodiscard]] auto make_json_response(std::string tables) -> net::http_response {
    net::http_response out{};
    out.m_headers = {{"Content-Type", "application/json"}};
    out.m_body = std::move(tables);
    return out;
}

} // namespace internal

auto request_dump(daemon& self, const std::string_view instance, const std::shared_ptr<net::responder>& responder)
    -> void {
    if (instance == self.m_settings.m_instance) {
        return responder->respond(internal::make_json_response(dump_tables(self)));
    }
    const auto number = self.m_random();
    auto pull = make_envelope(self);
    pull.mutable_dump_pull()->set_number(number);
    if (self.m_bus.send(instance, pull.SerializeAsString()) != code::ok) {
        return responder->respond(net::problem(code::not_found, outcome::not_run, "no such instance is connected", {}));
    }
    self.m_pending_dumps.emplace(number, responder);
    self.m_loop.after(internal::dump_timeout, [&self, number] { internal::fail_pending_dump(self, number); });
}

auto on_dump(daemon& self, const wire::Dump& reply) -> void {
    const auto found = self.m_pending_dumps.find(reply.number());
    if (found == self.m_pending_dumps.end()) {
        self.m_counters.add("entry_frames_dropped_total", 1.0, "late_dump");
        return;
    }
    found->second->respond(internal::make_json_response(reply.tables()));
    self.m_pending_dumps.erase(found);
}

auto send_dump(daemon& self, const std::string_view to, const std::uint64_t number) -> void {
    auto message = make_envelope(self);
    message.mutable_dump()->set_number(number);
    message.mutable_dump()->set_tables(dump_tables(self));
    send(self, to, message);
}

} // namespace rhubarbwharf::entry
