#include <entry/daemon.hpp>

namespace rhubarbwharf::entry {

namespace internal {

constexpr duration dump_time = std::chrono::seconds{5};

auto give_up(daemon& self, const std::uint64_t number) -> void {
    const auto found = self.m_dump_pulls.find(number);
    if (found == self.m_dump_pulls.end()) {
        return;
    }
    found->second->respond(net::problem(code::timed_out, outcome::not_run, "the instance does not answer", {}));
    self.m_dump_pulls.erase(found);
}

[[nodiscard]] auto json_answer(std::string tables) -> net::http_response {
    net::http_response out{};
    out.m_headers = {{"Content-Type", "application/json"}};
    out.m_body = std::move(tables);
    return out;
}

} // namespace internal

auto pull_dump(daemon& self, const std::string_view instance, const std::shared_ptr<net::responder>& answer) -> void {
    if (instance == self.m_settings.m_instance) {
        return answer->respond(internal::json_answer(dump(self)));
    }
    const auto number = self.m_random();
    auto pull = envelope(self);
    pull.mutable_dump_pull()->set_number(number);
    if (self.m_bus.send(instance, pull.SerializeAsString()) != code::ok) {
        return answer->respond(net::problem(code::not_found, outcome::not_run, "no such instance is connected", {}));
    }
    self.m_dump_pulls.emplace(number, answer);
    self.m_loop.after(internal::dump_time, [&self, number] { internal::give_up(self, number); });
}

auto on_dump(daemon& self, const wire::Dump& said) -> void {
    const auto found = self.m_dump_pulls.find(said.number());
    if (found == self.m_dump_pulls.end()) {
        self.m_counters.add("entry_frames_dropped_total", 1.0, "late_dump");
        return;
    }
    found->second->respond(internal::json_answer(said.tables()));
    self.m_dump_pulls.erase(found);
}

auto give_dump(daemon& self, const std::string_view to, const std::uint64_t number) -> void {
    auto message = envelope(self);
    message.mutable_dump()->set_number(number);
    message.mutable_dump()->set_tables(dump(self));
    send(self, to, message);
}

} // namespace rhubarbwharf::entry
