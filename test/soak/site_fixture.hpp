#pragma once

#include <fstream>
#include <future>
#include <sstream>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

#include <platform/names.hpp>
#include <soak/fleet.hpp>

namespace rhubarbwharf::soak {

/*! @brief Stand-in site with real daemons and one HTTP client; waits on construction until requests succeed. */
class site_fixture {
public:
    explicit site_fixture(const std::size_t gateways, const standin_site::site_options& options = {})
        : m_site{options}, m_fleet{m_site, gateways} {
        REQUIRE(process::wait_until(
            [this] { return send_request("a1", standin_site::lookup_path, "a").m_status == 200U; }));
        REQUIRE(
            process::wait_until([this] { return send_request("a2", standin_site::model_path, "a").m_status == 200U; }));
        for (std::size_t gateway = 0U; gateway < gateways; ++gateway) {
            REQUIRE(process::wait_until([&] { return has_whole_budget(gateway); }));
        }
    }

    /*! @brief Checks whether a gateway may spend its whole part of the retry budgets, which one that has just started
     * does not. */
    [[nodiscard]] auto has_whole_budget(const std::size_t gateway) -> bool {
        return log_since_start(gateway).find(R"("event":"retries.part","usable":0.8)") != std::string::npos;
    }

    /*! @brief Returns what a gateway has logged since it was last started. */
    [[nodiscard]] auto log_since_start(const std::size_t gateway) -> std::string {
        const auto& daemon = m_fleet.daemons()[gateway];
        return daemon.m_process->output().substr(daemon.m_log_start);
    }

    /*! @brief Sends a request to one of the gateways, by index. */
    auto start_request(const std::string& attempt, const std::string_view path, const std::string& key,
                       const std::size_t gateway = 0U) -> std::future<process::call_result> {
        return m_client.start(m_fleet.daemons()[gateway].m_caller_address, make_request(attempt, path, key));
    }

    /*! @brief Sends a request for an answer to a prompt, with a body of its own.
     * @param parts Shared parts of the prompt; a part of the request's own follows them. */
    auto start_prompt(const std::string& attempt, const std::string& key, const std::vector<std::string>& parts,
                      const std::size_t gateway) -> std::future<process::call_result> {
        auto request = make_request(attempt, standin_site::model_path, key);
        request.m_body = "prompt of " + attempt;
        std::string prefix{};
        for (const auto& each : parts) {
            prefix += each + ":100,";
        }
        std::ostringstream own_part{};
        own_part << std::hex << std::hash<std::string>{}(attempt);
        request.m_headers.push_back({std::string{adapter::field::prompt_parts}, prefix + own_part.str() + ":50"});
        request.m_headers.push_back(
            {std::string{adapter::field::tokens},
             std::to_string(50U + 100U * parts.size()) + "," + std::to_string(standin_site::events_per_stream)});
        return m_client.start(m_fleet.daemons()[gateway].m_caller_address, std::move(request));
    }

    [[nodiscard]] static auto make_request(const std::string& attempt, const std::string_view path,
                                           const std::string& key) -> net::http_request {
        net::http_request request{};
        request.m_method = "POST";
        request.m_target = std::string{path} + "x";
        request.m_host = standin_site::host_name;
        request.m_body = "content";
        request.m_headers = {{std::string{adapter::field::attempt}, attempt},
                             {"Authorization", "Bearer key-of-" + key},
                             {std::string{adapter::field::model}, std::string{standin_site::model_name}},
                             {std::string{adapter::field::deadline}, "3000"}};
        return request;
    }

    [[nodiscard]] auto send_request(const std::string& attempt, const std::string_view path, const std::string& key)
        -> net::http_response {
        return start_request(attempt, path, key).get().m_response;
    }

    auto set_server_faults(const standin_site::server_faults& faults) -> void {
        m_site.run_in_loop([&](standin_site::site& site) {
            for (auto& each : site.servers()) {
                each->set_faults(faults);
            }
        });
    }

    /*! @brief Replaces a part of the settings of a daemon, which it reads when it starts or reloads them. */
    auto replace_in_settings(const std::size_t index, const std::string_view part, const std::string_view replacement)
        -> void {
        const auto& path = m_fleet.daemons()[index].m_settings_path;
        std::ostringstream text{};
        text << std::ifstream{path}.rdbuf();
        auto settings = text.str();
        settings.replace(settings.find(part), part.size(), replacement);
        std::ofstream{path} << settings;
    }

    /*! @brief Restarts the first gateway with another grace period, and waits until requests succeed again. */
    auto restart_gateway_with_grace(const std::chrono::milliseconds grace) -> void {
        const std::string bounds = "\"bounds\": {";
        replace_in_settings(0U, bounds, bounds + "\"grace_ms\": " + std::to_string(grace.count()) + ", ");
        m_fleet.start_daemon(0U);
        REQUIRE(
            process::wait_until([this] { return send_request("a6", standin_site::model_path, "a").m_status == 200U; }));
    }

    /*! @brief Waits until every runner has loaded a version of the weights. @return False on timeout. */
    [[nodiscard]] auto wait_until_version_everywhere(const std::uint64_t version) -> bool {
        return process::wait_until([&] {
            auto all = true;
            m_site.run_in_loop([&](standin_site::site& site) {
                for (std::size_t index = 0U; index < site.options().m_runner_count; ++index) {
                    all = all && site.servers()[index]->version() == version;
                }
            });
            return all;
        });
    }

    [[nodiscard]] auto count_executions(const std::string& attempt) -> unsigned {
        unsigned out{};
        m_site.run_in_loop([&](standin_site::site& site) {
            const auto found = site.observations().m_executions.find(attempt);
            out = found == site.observations().m_executions.end() ? 0U : found->second;
            CHECK(site.observations().m_violations.m_lines == std::vector<std::string>{});
        });
        return out;
    }

    standin_site::site m_site;
    fleet m_fleet;
    process::threaded_http_client m_client{};
};

/*! @brief Returns the body of a complete stream for the requests of `site_fixture`. */
[[nodiscard]] inline auto complete_stream() -> std::string {
    std::string out{};
    for (unsigned index = 1U; index <= standin_site::events_per_stream; ++index) {
        out += standin_site::event_text("content", index);
    }
    return out;
}

/*! @brief Returns the fault of servers that pause before one event of each stream for longer than any timeout for
 * silence. A plain response counts as event 1. */
[[nodiscard]] inline auto pause_before_event(const unsigned event) -> standin_site::server_faults {
    standin_site::server_faults out{};
    out.m_pause_event = event;
    out.m_pause = std::chrono::milliseconds{1'500};
    return out;
}

} // namespace rhubarbwharf::soak
