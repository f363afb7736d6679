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

[[nodiscard]] auto local_address() -> net::endpoint {
    return {"127.0.0.1", find_free_port()};
}

[[nodiscard]] auto region_of(const std::size_t index) -> std::string {
    return std::string{regions[index % regions.size()]};
}

[[nodiscard]] auto make_keys(const std::string_view name, const std::string_view key) -> boost::json::array {
    return {boost::json::object{{"name", name}, {"key_sha256", to_hex(sha256(key))}}};
}

[[nodiscard]] auto bearer(const std::string_view key) -> net::header {
    return {"Authorization", "Bearer " + std::string{key}};
}

/*! @brief Returns the settings that all daemons of a cluster share. */
[[nodiscard]] auto common_settings(const cluster_options& options, const net::endpoint& platform,
                                   const std::deque<node>& entries) -> boost::json::object {
    boost::json::array rows{};
    for (std::size_t index = 0; index < entries.size(); ++index) {
        const auto& entry = entries[index];
        rows.push_back(boost::json::object{{"instance", entry.m_name},
                                           {"region", region_of(index)},
                                           {"data_centre", region_of(index) + "-1"},
                                           {"bus", net::to_string(entry.m_bus_address)},
                                           {"callers", net::to_string(entry.m_caller_address)}});
    }
    const boost::json::object ledger{{"name", "ledger"}, {"non_idempotent", boost::json::array{"POST /payments"}}};
    return {
        {"log_level", "info"},
        {"platform", {{"addresses", boost::json::array{net::to_string(platform)}}, {"call_ms", 500}}},
        {"entries", rows},
        {"operators", make_keys("shift", operator_key)},
        {"services", boost::json::array{ledger}},
        {"routing", {{"report_ms", 200}, {"suspect_ms", 1'500}}},
        {"execution", {{"shards", options.m_shard_count}, {"lease_s", options.m_lease_s}, {"lease_margin_ms", 500}}},
        {"drain", {{"entries_ttl_ms", options.m_entries_ttl_ms}}}};
}

auto add_location(boost::json::object& settings, const std::string_view role, const std::string& name,
                  const std::size_t index) -> void {
    settings["role"] = role;
    settings["instance"] = name;
    settings["region"] = region_of(index);
    settings["data_centre"] = region_of(index) + "-1";
}

[[nodiscard]] auto parse_object(const std::string& text) -> boost::json::object {
    boost::system::error_code failed{};
    auto value = boost::json::parse(text, failed);
    return failed || !value.is_object() ? boost::json::object{} : std::move(value.get_object());
}

[[nodiscard]] auto string_member(const boost::json::object& object, const std::string_view name) -> std::string {
    const auto* found = object.if_contains(name);
    return found != nullptr && found->is_string() ? std::string{found->get_string()} : std::string{};
}

/*! @brief Returns the token of one event of a stream; empty if it has none. */
[[nodiscard]] auto token_of(const boost::json::object& event) -> std::string {
    const auto* choices = event.if_contains("choices");
    if (choices == nullptr || !choices->is_array() || choices->get_array().empty()) {
        return {};
    }
    const auto* delta = choices->get_array().front().as_object().if_contains("delta");
    return delta == nullptr ? std::string{} : string_member(delta->as_object(), "content");
}

} // namespace internal

test_cluster::test_cluster(cluster_options options)
    : m_options{std::move(options)}, m_idempotency_key_time{std::to_string(wall_now().time_since_epoch().count())} {
    m_platform = start_standin("platform", {"--role", "platform"});
    m_origin = start_standin("origin", {"--role", "origin", "--versions", m_options.m_weight_versions});
    m_platform_address = m_platform->wait_for_address();
    m_origin_address = m_origin->wait_for_address();
    read_versions();
    if (const auto* const fault = std::getenv("RHUBARBWHARF_PLATFORM_FAULT")) {
        set_fault(m_platform_address, std::string{"\"kind\":\""} + fault + '"');
    }
    start_entries();
    start_agents(m_engines, "chef", m_options.m_engine_count);
    start_agents(m_ledgers, "ledger", m_options.m_ledger_count);
    for (const auto* nodes : {&m_entries, &m_engines, &m_ledgers}) {
        for (const auto& each : *nodes) {
            wait_healthy(each);
        }
    }
}

auto test_cluster::wait_healthy(const node& target) -> void {
    if (!wait_until(
            [this, &target] { return m_client.get(target.m_admin_address, "/healthz").m_response.m_status == 200; })) {
        throw std::runtime_error{target.m_name + " did not become healthy: " + target.m_daemon->output()};
    }
}

auto test_cluster::start_standin(const std::string_view name, const std::vector<std::string>& arguments)
    -> std::unique_ptr<child_process> {
    return std::make_unique<child_process>(program_path("rhubarbwharf-standin"), arguments,
                                           m_directory.path(std::string{name} + ".log"));
}

auto test_cluster::read_versions() -> void {
    const auto listed = internal::parse_object(m_client.get(m_origin_address, "/versions").m_response.m_body);
    for (const auto& row : listed.at("versions").as_array()) {
        const auto manifest = internal::string_member(row.as_object(), "manifest");
        const auto body =
            internal::parse_object(m_client.get(m_origin_address, "/manifests/" + manifest).m_response.m_body);
        m_versions.push_back(
            {manifest, internal::string_member(body, "content").substr(0, standin::fingerprint_digits)});
    }
}

auto test_cluster::start_entries() -> void {
    for (std::size_t index = 0; index < m_options.m_entry_count; ++index) {
        auto& entry = m_entries.emplace_back();
        entry.m_name = "entry-" + std::to_string(index);
        entry.m_caller_address = internal::local_address();
        entry.m_admin_address = internal::local_address();
        entry.m_bus_address = internal::local_address();
    }
    for (std::size_t index = 0; index < m_options.m_entry_count; ++index) {
        auto& entry = m_entries[index];
        auto settings = internal::common_settings(m_options, m_platform_address, m_entries);
        internal::add_location(settings, "entry", entry.m_name, index);
        settings["listen"] = {{"callers", net::to_string(entry.m_caller_address)},
                              {"admin", net::to_string(entry.m_admin_address)},
                              {"bus", net::to_string(entry.m_bus_address)}};
        settings["organisations"] = internal::make_keys("kitchens", internal::caller_key);
        entry.m_settings_path = m_directory.write_file(entry.m_name + ".json", boost::json::serialize(settings));
        start_daemon(entry);
    }
    for (const auto& entry : m_entries) {
        const auto is_up = [this, &entry] {
            return m_client.get(entry.m_admin_address, "/healthz").m_response.m_status == 200;
        };
        if (!wait_until(is_up)) {
            throw std::runtime_error{entry.m_name + " did not start listening"};
        }
    }
}

auto test_cluster::start_agents(std::deque<node>& nodes, const std::string_view group, const std::size_t count)
    -> void {
    const auto is_plain_service = group == "ledger";
    for (std::size_t index = 0; index < count; ++index) {
        auto& agent = nodes.emplace_back();
        agent.m_name = std::string{group} + "-" + std::to_string(index);
        agent.m_admin_address = internal::local_address();
        agent.m_bus_address = internal::local_address();
        agent.m_backend_address = internal::local_address();
        agent.m_backend_arguments = {"--role",     is_plain_service ? "ledger" : "engine",
                                     "--listen",   net::to_string(agent.m_backend_address),
                                     "--token-ms", m_options.m_token_ms,
                                     "--work-ms",  m_options.m_work_ms};
        if (m_options.m_ignore_fencing) {
            agent.m_backend_arguments.emplace_back("--ignore-fencing");
        }
        start_backend_server(agent);
        auto settings = internal::common_settings(m_options, m_platform_address, m_entries);
        internal::add_location(settings, "agent", agent.m_name, index);
        settings["listen"] = {{"admin", net::to_string(agent.m_admin_address)},
                              {"bus", net::to_string(agent.m_bus_address)},
                              {"bulk", net::to_string(internal::local_address())}};
        settings["backend"] = {{"address", net::to_string(agent.m_backend_address)},
                               {"group", group},
                               {"plain_service", is_plain_service},
                               {"checks_fencing", !m_options.m_ignore_fencing},
                               {"probe_ms", 200}};
        settings["distribution"] = {{"origin", net::to_string(m_origin_address)}, {"origin_region", "ost"}};
        agent.m_settings_path = m_directory.write_file(agent.m_name + ".json", boost::json::serialize(settings));
        start_daemon(agent);
    }
}

auto test_cluster::start_daemon(node& target) -> void {
    target.m_daemon.reset();
    target.m_daemon = std::make_unique<child_process>(program_path("rhubarbwharfd"),
                                                      std::vector<std::string>{"--config", target.m_settings_path},
                                                      m_directory.path(target.m_name + ".log"));
}

auto test_cluster::start_backend_server(node& target) -> void {
    target.m_backend_server.reset();
    target.m_backend_server = start_standin(target.m_name + "-server", target.m_backend_arguments);
    [[maybe_unused]] const auto listening = target.m_backend_server->wait_for_address();
}

auto test_cluster::set_fault(const net::endpoint& address, const std::string_view json) -> void {
    m_client.post(address, "/fault", "{" + std::string{json} + "}");
}

auto test_cluster::submit_ticket(const std::size_t entry, const std::string_view manifest,
                                 const std::string_view submission, const std::uint64_t number) -> call_result {
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
    return m_client.post(m_entries.at(entry).m_admin_address, "/v1/tickets", boost::json::serialize(order),
                         {internal::bearer(internal::operator_key)});
}

auto test_cluster::wait_until_serving(const offered_version& version) -> bool {
    const auto has_loaded = [this, &version](const node& engine) {
        const auto state =
            internal::parse_object(m_client.get(engine.m_backend_address, "/v1/engine/state").m_response.m_body);
        return internal::string_member(state, "manifest") == version.m_manifest;
    };
    const auto serves = [this, &version](const std::size_t entry) {
        const auto check = check_completion(generate(entry, "ready?", 1).get(), "ready?", 1);
        return check.m_complete && check.m_fingerprint == version.m_fingerprint;
    };
    return wait_until([this, has_loaded, serves] {
        const auto all_loaded = std::all_of(m_engines.begin(), m_engines.end(), has_loaded);
        auto all_serve = all_loaded;
        for (std::size_t entry = 0; all_serve && entry < m_entries.size(); ++entry) {
            all_serve = serves(entry);
        }
        return all_serve;
    });
}

auto test_cluster::wait_until_ledgers_serve() -> bool {
    auto tries = 0;
    return wait_until([this, &tries] {
        ++tries;
        for (std::size_t entry = 0; entry < m_entries.size(); ++entry) {
            const auto reference = "ready-" + std::to_string(tries) + "-" + std::to_string(entry);
            if (send_payment(entry, reference).get().m_response.m_status != 201) {
                return false;
            }
        }
        return true;
    });
}

auto test_cluster::generate(const std::size_t entry, const std::string_view prompt, const std::size_t tokens)
    -> std::future<call_result> {
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = "/v1/chat/completions";
    request.m_headers = {internal::bearer(internal::caller_key), {"Content-Type", "application/json"}};
    request.m_body = boost::json::serialize(boost::json::object{
        {"model", "chef"},
        {"stream", true},
        {"max_tokens", tokens},
        {"messages", boost::json::array{boost::json::object{{"role", "user"}, {"content", prompt}}}}});
    return m_client.start(m_entries.at(entry).m_caller_address, std::move(request));
}

auto test_cluster::send_payment(const std::size_t entry, const std::string_view reference, const std::string_view key)
    -> std::future<call_result> {
    net::http_request request{};
    request.m_method = "POST";
    request.m_target = "/v1/services/ledger/payments";
    request.m_headers = {internal::bearer(internal::caller_key),
                         {"Content-Type", "application/json"},
                         {"Idempotency-Key", std::string{key.empty() ? reference : key}},
                         {"Idempotency-Key-Time", m_idempotency_key_time}};
    request.m_body = boost::json::serialize(boost::json::object{{"reference", reference}, {"amount", 12}});
    return m_client.start(m_entries.at(entry).m_caller_address, std::move(request));
}

auto test_cluster::send_lookup(const std::size_t entry) -> std::future<call_result> {
    net::http_request request{};
    request.m_target = "/v1/services/ledger/lookup";
    request.m_headers = {internal::bearer(internal::caller_key)};
    return m_client.start(m_entries.at(entry).m_caller_address, std::move(request));
}

auto test_cluster::count_executions(const std::string_view reference) const -> std::size_t {
    const auto line = "run " + std::string{reference};
    std::size_t count{};
    for (const auto& ledger : m_ledgers) {
        std::istringstream lines{ledger.m_backend_server->output()};
        for (std::string read{}; std::getline(lines, read);) {
            count += read == line ? 1U : 0U;
        }
    }
    return count;
}

auto check_completion(const call_result& result, const std::string_view prompt, const std::size_t tokens)
    -> completion_check {
    constexpr std::string_view prefix = "data: ";
    completion_check check{};
    auto failed = false;
    std::istringstream lines{result.m_response.m_body};
    for (std::string line{}; std::getline(lines, line);) {
        failed = failed || line == "event: error";
        if (!line.starts_with(prefix)) {
            continue;
        }
        line.erase(0, prefix.size());
        check.m_has_end_marker = check.m_has_end_marker || line == "[DONE]";
        const auto event = internal::parse_object(line);
        const auto fingerprint = internal::string_member(event, "system_fingerprint");
        const auto token = internal::token_of(event);
        if (token.empty()) {
            continue;
        }
        check.m_fingerprint = check.m_token_count == 0 ? fingerprint : check.m_fingerprint;
        check.m_mixed = check.m_mixed || fingerprint != check.m_fingerprint ||
                        token != standin::token_at(prompt, fingerprint, check.m_token_count);
        ++check.m_token_count;
    }
    check.m_reported_complete = result.m_response.m_status == 200 && result.m_end.m_code == code::ok && !failed;
    check.m_complete =
        check.m_reported_complete && check.m_has_end_marker && !check.m_mixed && check.m_token_count == tokens;
    return check;
}

auto outcome_of(const call_result& result) -> std::string {
    return internal::string_member(internal::parse_object(result.m_response.m_body), "outcome");
}

} // namespace rhubarbwharf::process
