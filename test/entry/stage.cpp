#include "stage.hpp"

#include <rhubarbwharf/wire/state.hpp>

#include <doctest/doctest.h>

namespace rhubarbwharf::entry {

namespace {

constexpr duration run_timeout = std::chrono::seconds{20};
constexpr std::uint32_t agent_capacity = 8;

[[nodiscard]] auto make_settings() -> config::settings {
    config::settings out{};
    out.m_instance = "entry-1";
    out.m_region = "ost";
    out.m_data_centre = "ost-1";
    out.m_listen = {"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", ""};
    out.m_platform.m_addresses = {"127.0.0.1:1"};
    out.m_platform.m_watch = false;
    out.m_organisations = {{"kitchens", sha256(std::string_view{"caller"}), 1.0}};
    out.m_services = {{"ledger", {"POST /payments"}}};
    out.m_execution.m_shards = 1;
    return out;
}

} // namespace

fake_agent::fake_agent(daemon& entry, std::string name, const std::uint64_t incarnation)
    : m_entry{entry}, m_incarnation{incarnation},
      m_bus{entry.m_loop, std::move(name), {}, [this](std::string_view, const std::string_view bytes) {
                wire::Envelope message{};
                CHECK(message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())));
                m_received.push_back(message);
            }} {
    m_bus.connect("entry-1", {"127.0.0.1", entry.m_bus.port()});
}

auto fake_agent::send(wire::Envelope message) -> void {
    message.set_protocol(wire::protocol_version);
    message.set_incarnation(m_incarnation);
    CHECK(m_bus.send("entry-1", message.SerializeAsString()) == code::ok);
}

auto fake_agent::send_report(const std::string_view group, const wire::Phase phase, const bool plain_service) -> void {
    wire::Envelope message{};
    auto& out = *message.mutable_report();
    out.set_sequence(++m_sequence);
    out.set_group(std::string{group});
    out.set_plain_service(plain_service);
    out.set_phase(phase);
    out.set_model(plain_service ? "" : "chef");
    out.set_manifest(std::string(digest::size_bytes, 'v'));
    out.set_capacity(agent_capacity);
    for (const auto& shard : m_shards) {
        *out.add_shards() = shard;
    }
    send(message);
}

auto fake_agent::send_head(const wire::Dispatch& to, const std::uint32_t attempt) -> void {
    wire::Envelope message{};
    message.mutable_answer_head()->set_request(to.request());
    message.mutable_answer_head()->set_attempt(attempt);
    message.mutable_answer_head()->set_status(200);
    message.mutable_answer_head()->set_manifest(std::string(digest::size_bytes, 'v'));
    send(message);
}

auto fake_agent::send_part(const wire::Dispatch& to, const std::uint32_t attempt, const std::uint32_t sequence,
                           const std::string_view bytes) -> void {
    wire::Envelope message{};
    auto& out = *message.mutable_answer_part();
    out.set_request(to.request());
    out.set_attempt(attempt);
    out.set_sequence(sequence);
    out.set_bytes(std::string{bytes});
    out.set_tokens(1);
    send(message);
}

auto fake_agent::send_end(const wire::Dispatch& to, const std::uint32_t attempt, const std::uint32_t parts,
                          const code result_code, const bool not_run, const bool crashed) -> void {
    wire::Envelope message{};
    auto& out = *message.mutable_answer_end();
    out.set_request(to.request());
    out.set_attempt(attempt);
    out.set_parts(parts);
    out.set_code(static_cast<std::uint32_t>(result_code));
    out.set_not_run(not_run);
    out.set_crashed(crashed);
    send(message);
}

auto fake_agent::dispatches() const -> std::vector<wire::Dispatch> {
    std::vector<wire::Dispatch> out{};
    for (const auto& message : m_received) {
        if (message.has_dispatch()) {
            out.push_back(message.dispatch());
        }
    }
    return out;
}

auto fake_agent::cancel_count() const -> std::size_t {
    return static_cast<std::size_t>(
        std::count_if(m_received.begin(), m_received.end(), [](const auto& message) { return message.has_cancel(); }));
}

entry_fixture::entry_fixture() : m_entry{make_settings()} {
    REQUIRE(open_listeners(m_entry));
    start(m_entry);
}

auto entry_fixture::run_until(const std::function<bool()>& condition) -> bool {
    const auto deadline = steady_now() + run_timeout;
    while (!condition() && steady_now() < deadline) {
        run_one_tick();
    }
    return condition();
}

auto entry_fixture::run_one_tick() -> void {
    m_entry.m_loop.after(tick_interval, [this] { m_entry.m_loop.stop(); });
    m_entry.m_loop.run();
}

auto entry_fixture::send_request(std::string method, std::string target, std::string body,
                                 std::vector<net::header> headers) -> std::shared_ptr<received_response> {
    auto out = std::make_shared<received_response>();
    headers.push_back({"Authorization", "Bearer caller"});
    net::call_handlers handlers{};
    handlers.m_on_head = [out](const net::http_response& head) {
        out->m_head = head;
    };
    handlers.m_on_part = [out](const std::string_view part) {
        out->m_body += part;
    };
    handlers.m_on_end = [out](const net::call_end& end) {
        out->m_ended = true;
        out->m_complete = end.m_code == code::ok;
    };
    m_entry.m_http_client.send({"127.0.0.1", m_entry.m_caller_server.port()},
                               {std::move(method), std::move(target), std::move(headers), std::move(body), {}}, {},
                               std::move(handlers));
    return out;
}

auto entry_fixture::add_agent(std::string name, const std::string_view group, const bool plain_service) -> fake_agent& {
    auto& added = *m_agents.emplace_back(std::make_unique<fake_agent>(m_entry, name, m_agents.size() + 1U));
    REQUIRE(run_until([&added, this, &name, group, plain_service] {
        added.send_report(group, wire::PHASE_SERVING, plain_service);
        return membership::find(m_entry.m_members, name) != nullptr;
    }));
    return added;
}

} // namespace rhubarbwharf::entry
