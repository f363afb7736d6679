#include "site.hpp"

#include <cstdlib>
#include <sstream>
#include <stdexcept>

#include <boost/json.hpp>

#include <rhubarbwharf-standin/tokens.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/core/time.hpp>

namespace rhubarbwharf::process {

namespace internal {

constexpr std::string_view caller_key = "test-caller";
constexpr std::string_view operator_key = "test-operator";
constexpr auto regions = std::to_array<std::string_view>({"ost", "west", "sued"});

[[nodiscard]] auto local() -> net::endpoint {
    return {"127.0.0.1", free_port()};
}

[[nodiscard]] auto region_of(const std::size_t index) -> std::string {
    return std::string{regions[index % regions.size()]};
}

[[nodiscard]] auto keys(const std::string_view name, const std::string_view key) -> boost::json::array {
    return {boost::json::object{{"name", name}, {"key_sha256", to_hex(sha256(key))}}};
}

[[nodiscard]] auto bearer(const std::string_view key) -> net::header {
    return {"Authorization", "Bearer " + std::string{key}};
}

/*! @brief Settings that all daemons of a site share. */
[[nodiscard]] auto common_settings(const site_options& set, const net::endpoint& platform,
                                   const std::deque<node>& entries) -> boost::json::object {
    boost::json::array rows{};
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto& entry = entries[index];
        rows.push_back(boost::json::object{{"instance", entry.m_name},
                                           {"region", region_of(index)},
                                           {"data_centre", region_of(index) + "-1"},
                                           {"bus", net::to_string(entry.m_bus)},
                                           {"callers", net::to_string(entry.m_callers)}});
    }
    const boost::json::object ledger{{"name", "ledger"}, {"non_idempotent", boost::json::array{"POST /payments"}}};
    return {{"log_level", "info"},
            {"platform", {{"addresses", boost::json::array{net::to_string(platform)}}, {"call_ms", 500}}},
            {"entries", rows},
            {"operators", keys("shift", operator_key)},
            {"services", boost::json::array{ledger}},
            {"routing", {{"report_ms", 200}, {"suspect_ms", 1'500}}},
            {"execution", {{"shards", set.m_shards}, {"lease_s", set.m_lease_s}, {"lease_margin_ms", 500}}},
            {"drain", {{"entries_ttl_ms", set.m_entries_ttl_ms}}}};
}

auto add_place(boost::json::object& settings, const std::string_view role, const std::string& name,
               const std::size_t index) -> void {
    settings["role"] = role;
    settings["instance"] = name;
    settings["region"] = region_of(index);
    settings["data_centre"] = region_of(index) + "-1";
}

[[nodiscard]] auto members(const std::string& text) -> boost::json::object {
    boost::system::error_code failed{};
    auto value = boost::json::parse(text, failed);
    return failed || !value.is_object() ? boost::json::object{} : std::move(value.get_object());
}

[[nodiscard]] auto text_at(const boost::json::object& object, const std::string_view name) -> std::string {
    const auto* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string{found->get_string()} : std::string{};
}

/*! @brief Reads the token of one event of a stream. */
[[nodiscard]] auto token_of(const boost::json::object& event) -> std::string {
    const auto* choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return {};
    }
    const auto* delta = choices->get_array().front().as_object().if_contains("delta");
    return delta == nullptr ? std::string{} : text_at(delta->as_object(), "content");
}

} // namespace internal

site::site(site_options set)
    : m_set{std::move(set)}, m_key_time{std::to_string(wall_now().time_since_epoch().count())} {
    m_platform = standin("platform", {"--role", "platform"});
    m_origin = standin("origin", {"--role", "origin", "--versions", m_set.m_versions});
    m_platform_at = m_platform->where();
    m_origin_at = m_origin->where();
    read_versions();
    if (const auto* const fault = std::getenv("RHUBARBWHARF_PLATFORM_FAULT")) {
        set_fault(m_platform_at, std::string{"\"kind\":\""} + fault + '"');
    }
    make_entries();
    make_agents(m_engines, "chef", m_set.m_engines);
    make_agents(m_ledgers, "ledger", m_set.m_ledgers);
    for (const auto* nodes : {&m_entries, &m_engines, &m_ledgers}) {
        for (const auto& each : *nodes) {
            wait_healthy(each);
        }
    }
}

auto site::wait_healthy(const node& which) -> void {
    if (!wait_until([this, &which] { return m_caller.get(which.m_admin, "/healthz").m_response.m_status == 200; })) {
        throw std::runtime_error{which.m_name + " does not answer: " + which.m_daemon->output()};
    }
}

auto site::standin(const std::string_view name, const std::vector<std::string>& words) -> std::unique_ptr<child> {
    return std::make_unique<child>(program_path("rhubarbwharf-standin"), words,
                                   m_folder.path(std::string{name} + ".log"));
}

auto site::read_versions() -> void {
    const auto listed = internal::members(m_caller.get(m_origin_at, "/versions").m_response.m_body);
    for (const auto& row : listed.at("versions").as_array()) {
        const auto manifest = internal::text_at(row.as_object(), "manifest");
        const auto body = internal::members(m_caller.get(m_origin_at, "/manifests/" + manifest).m_response.m_body);
        m_versions.push_back({manifest, internal::text_at(body, "content").substr(0, standin::fingerprint_digits)});
    }
}

auto site::make_entries() -> void {
    for (std::size_t index = 0; index < m_set.m_entries; ++index) {
        auto& entry = m_entries.emplace_back();
        entry.m_name = "entry-" + std::to_string(index);
        entry.m_callers = internal::local();
        entry.m_admin = internal::local();
        entry.m_bus = internal::local();
    }
    for (std::size_t index = 0; index < m_set.m_entries; ++index) {
        auto& entry = m_entries[index];
        auto settings = internal::common_settings(m_set, m_platform_at, m_entries);
        internal::add_place(settings, "entry", entry.m_name, index);
        settings["listen"] = {{"callers", net::to_string(entry.m_callers)},
                              {"admin", net::to_string(entry.m_admin)},
                              {"bus", net::to_string(entry.m_bus)}};
        settings["organisations"] = internal::keys("kitchens", internal::caller_key);
        entry.m_settings = m_folder.write(entry.m_name + ".json", boost::json::serialize(settings));
        start(entry);
    }
    for (const auto& entry : m_entries) {
        const auto is_up = [this, &entry] {
            return m_caller.get(entry.m_admin, "/healthz").m_response.m_status == 200;
        };
        if (!wait_until(is_up)) {
            throw std::runtime_error{entry.m_name + " does not listen"};
        }
    }
}

auto site::make_agents(std::deque<node>& nodes, const std::string_view group, const std::size_t count) -> void {
    const auto plain = group == "ledger";
    for (std::size_t index = 0; index < count; ++index) {
        auto& agent = nodes.emplace_back();
        agent.m_name = std::string{group} + "-" + std::to_string(index);
        agent.m_admin = internal::local();
        agent.m_bus = internal::local();
        agent.m_backend = internal::local();
        agent.m_backend_words = {"--role",     plain ? "ledger" : "engine",
                                 "--listen",   net::to_string(agent.m_backend),
                                 "--token-ms", m_set.m_token_ms,
                                 "--work-ms",  m_set.m_work_ms};
        if (m_set.m_ignore_fencing) {
            agent.m_backend_words.emplace_back("--ignore-fencing");
        }
        start_server(agent);
        auto settings = internal::common_settings(m_set, m_platform_at, m_entries);
        internal::add_place(settings, "agent", agent.m_name, index);
        settings["listen"] = {{"admin", net::to_string(agent.m_admin)},
                              {"bus", net::to_string(agent.m_bus)},
                              {"bulk", net::to_string(internal::local())}};
        settings["backend"] = {{"address", net::to_string(agent.m_backend)},
                               {"group", group},
                               {"plain_service", plain},
                               {"checks_fencing", !m_set.m_ignore_fencing},
                               {"probe_ms", 200}};
        settings["distribution"] = {{"origin", net::to_string(m_origin_at)}, {"origin_region", "ost"}};
        agent.m_settings = m_folder.write(agent.m_name + ".json", boost::json::serialize(settings));
        start(agent);
    }
}

auto site::start(node& which) -> void {
    which.m_daemon.reset();
    which.m_daemon =
        std::make_unique<child>(program_path("rhubarbwharfd"), std::vector<std::string>{"--config", which.m_settings},
                                m_folder.path(which.m_name + ".log"));
}

auto site::start_server(node& which) -> void {
    which.m_server.reset();
    which.m_server = standin(which.m_name + "-server", which.m_backend_words);
    [[maybe_unused]] const auto listening = which.m_server->where();
}

auto site::set_fault(const net::endpoint& where, const std::string_view json) -> void {
    m_caller.post(where, "/fault", "{" + std::string{json} + "}");
}

auto site::submit(const std::size_t entry, const std::string_view manifest, const std::string_view submission,
                  const std::uint64_t number) -> answer {
    boost::json::object order{
        {"submission", submission},
        {"changes", boost::json::array{boost::json::object{{"scope", "group:chef"},
                                                           {"model", "chef"},
                                                           {"manifest", manifest},
                                                           {"adapter", ""},
                                                           {"role", ""},
                                                           {"traffic", true}}}}};
    if (number != 0) {
        order["number"] = number;
    }
    return m_caller.post(m_entries.at(entry).m_admin, "/v1/tickets", boost::json::serialize(order),
                         {internal::bearer(internal::operator_key)});
}

auto site::wait_serving(const offered_version& version) -> bool {
    const auto holds = [this, &version](const node& engine) {
        const auto state = internal::members(m_caller.get(engine.m_backend, "/v1/engine/state").m_response.m_body);
        return internal::text_at(state, "manifest") == version.m_manifest;
    };
    const auto serves = [this, &version](const std::size_t entry) {
        const auto made = read_generated(generate(entry, "ready?", 1).get(), "ready?", 1);
        return made.m_whole && made.m_fingerprint == version.m_fingerprint;
    };
    return wait_until([this, holds, serves] {
        const auto all_hold = std::all_of(m_engines.begin(), m_engines.end(), holds);
        auto all_serve = all_hold;
        for (std::size_t entry = 0; all_serve && entry < m_entries.size(); ++entry) {
            all_serve = serves(entry);
        }
        return all_serve;
    });
}

auto site::wait_ledger() -> bool {
    auto tries = 0;
    return wait_until([this, &tries] {
        ++tries;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            const auto reference = "ready-" + std::to_string(tries) + "-" + std::to_string(entry);
            if (pay(entry, reference).get().m_response.m_status != 201) {
                return false;
            }
        }
        return true;
    });
}

auto site::generate(const std::size_t entry, const std::string_view prompt, const std::size_t tokens)
    -> std::future<answer> {
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = "/v1/chat/completions";
    request.m_headers = {internal::bearer(internal::caller_key), {"Content-Type", "application/json"}};
    request.m_body = boost::json::serialize(boost::json::object{
        {"model", "chef"},
        {"stream", true},
        {"max_tokens", tokens},
        {"messages", boost::json::array{boost::json::object{{"role", "user"}, {"content", prompt}}}}});
    return m_caller.start(m_entries.at(entry).m_callers, std::move(request));
}

auto site::pay(const std::size_t entry, const std::string_view reference, const std::string_view key)
    -> std::future<answer> {
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = "/v1/services/ledger/payments";
    request.m_headers = {internal::bearer(internal::caller_key),
                         {"Content-Type", "application/json"},
                         {"Idempotency-Key", std::string{key.empty() ? reference : key}},
                         {"Idempotency-Key-Time", m_key_time}};
    request.m_body = boost::json::serialize(boost::json::object{{"reference", reference}, {"amount", 12}});
    return m_caller.start(m_entries.at(entry).m_callers, std::move(request));
}

auto site::runs(const std::string_view reference) const -> std::size_t {
    const auto line = "run " + std::string{reference};
    std::size_t count{};
    for (const auto& ledger : m_ledgers) {
        std::istringstream lines{ledger.m_server->output()};
        for (std::string read{}; std::getline(lines, read);) {
            count += read == line ? 1U : 0U;
        }
    }
    return count;
}

auto read_generated(const answer& got, const std::string_view prompt, const std::size_t tokens) -> generated {
    constexpr std::string_view mark = "data: ";
    generated made{};
    auto failed = false;
    std::istringstream lines{got.m_response.m_body};
    for (std::string line{}; std::getline(lines, line);) {
        failed = failed || line == "event: error";
        if (!line.starts_with(mark)) {
            continue;
        }
        line.erase(0, mark.size());
        made.m_done = made.m_done || line == "[DONE]";
        const auto event = internal::members(line);
        const auto fingerprint = internal::text_at(event, "system_fingerprint");
        const auto token = internal::token_of(event);
        if (token.empty()) {
            continue;
        }
        made.m_fingerprint = made.m_tokens == 0 ? fingerprint : made.m_fingerprint;
        made.m_mixed = made.m_mixed || fingerprint != made.m_fingerprint ||
                       token != standin::token_at(prompt, fingerprint, made.m_tokens);
        ++made.m_tokens;
    }
    made.m_shown_complete = got.m_response.m_status == 200 && got.m_end.m_code == code::ok && !failed;
    made.m_whole = made.m_shown_complete && made.m_done && !made.m_mixed && made.m_tokens == tokens;
    return made;
}

auto outcome_of(const answer& got) -> std::string {
    return internal::text_at(internal::members(got.m_response.m_body), "outcome");
}

} // namespace rhubarbwharf::process
