#include <soak/fleet.hpp>

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace rhubarbwharf::soak {

namespace {

[[nodiscard]] auto local_address(const std::uint16_t port) -> std::string {
    return "127.0.0.1:" + std::to_string(port);
}

[[nodiscard]] auto json_member(const std::string& name, const std::string& value) -> std::string {
    return '"' + name + "\": \"" + value + '"';
}

} // namespace

auto change_state(std::vector<disturbance>& record, const bool is_disturbed) -> void {
    const auto now = steady_now();
    if (!record.empty()) {
        record.back().m_to = std::min(record.back().m_to, now);
    }
    if (is_disturbed) {
        record.push_back({now});
    }
}

fleet::fleet(standin_site::site& platform, const std::size_t gateways) : m_site{platform} {
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
    platform.run_in_loop([this](standin_site::site& site) { m_region_count = site.options().m_region_count; });
    for (std::size_t index = 0U; index < gateways; ++index) {
        add_daemon("gateway-" + std::to_string(index), index, {});
    }
    std::vector<net::endpoint> runners{};
    platform.run_in_loop([&](standin_site::site& site) {
        for (std::size_t index = 0U; index < site.options().m_runner_count; ++index) {
            runners.push_back(site.servers()[index]->address());
        }
    });
    for (std::size_t index = 0U; index < runners.size(); ++index) {
        add_daemon("loader-" + std::to_string(index), index, runners[index]);
    }
    try {
        for (std::size_t index = 0U; index < m_daemons.size(); ++index) {
            start_daemon(index);
        }
    } catch (...) {
        stop();
        throw;
    }
}

fleet::~fleet() {
    stop();
}

auto fleet::stop() -> void {
    for (auto& each : m_daemons) {
        each.m_process.reset();
    }
    run_in_proxy_loop([this] {
        for (auto& each : m_daemons) {
            each.m_store_proxy.reset();
        }
    });
    m_loop.stop();
    m_thread.join();
}

auto fleet::run_in_proxy_loop(const std::function<void()>& task) -> void {
    std::promise<void> done{};
    m_loop.post([&] {
        task();
        done.set_value();
    });
    done.get_future().wait();
}

auto fleet::data_centre_settings() const -> std::string {
    std::string out{};
    for (std::size_t index = 0U; index < m_region_count; ++index) {
        out += (index == 0U ? "{" : ", {") +
               json_member("name", standin_site::data_centre_name(index, m_region_count)) + ", " +
               json_member("region", standin_site::region_name(index, m_region_count)) + "}";
    }
    return out;
}

auto fleet::add_daemon(const std::string& name, const std::size_t index, const net::endpoint& runner) -> void {
    daemon added{};
    added.m_name = name;
    run_in_proxy_loop([&] { added.m_store_proxy = std::make_unique<proxy>(m_loop, m_site.store_address()); });
    const auto is_gateway = runner.m_port == 0U;
    added.m_bus_address = {"127.0.0.1", process::find_free_port()};
    std::string listen = json_member("bus", net::to_string(added.m_bus_address)) + ", " +
                         json_member("bulk", local_address(process::find_free_port()));
    if (is_gateway) {
        added.m_caller_address = {"127.0.0.1", process::find_free_port()};
        added.m_directory_address = {"127.0.0.1", process::find_free_port()};
        const auto control = local_address(process::find_free_port());
        m_seed_addresses += (m_seed_addresses.empty() ? "\"" : ", \"") + control + '"';
        listen += ", " + json_member("callers", net::to_string(added.m_caller_address)) + ", " +
                  json_member("directory", net::to_string(added.m_directory_address)) + ", " +
                  json_member("control", control) + ", " +
                  json_member("readiness", local_address(process::find_free_port()));
    }
    auto settings = "{" + json_member("role", is_gateway ? "gateway" : "loader") + ", " +
                    json_member("instance", name) + ", " +
                    json_member("region", standin_site::region_name(index, m_region_count)) + ", " +
                    json_member("data_centre", standin_site::data_centre_name(index, m_region_count)) +
                    ", \"data_centres\": [" + data_centre_settings() + "], \"listen\": {" + listen + "}, \"store\": {" +
                    json_member("address", net::to_string(added.m_store_proxy->address())) +
                    ", \"call_ms\": 500, \"lease_ms\": 3000, \"watch_ms\": 2000}, " +
                    R"("bounds": {"version_ms": 6000, "retry_slack": 30, "retry_window_ms": 1000}, )";
    if (!is_gateway) {
        settings += "\"runner\": {" + json_member("address", net::to_string(runner)) + ", " +
                    json_member("service", "llm") + "}, ";
    }
    settings += "\"seeds\": [" + m_seed_addresses + "]}";
    added.m_settings_path = m_directory.write_file(name + ".json", settings);
    m_daemons.push_back(std::move(added));
}

auto fleet::start_daemon(const std::size_t index) -> void {
    auto& each = m_daemons[index];
    disturbance start{steady_now()};
    each.m_process.reset();
    const auto log = m_directory.path(each.m_name + ".log");
    each.m_log_start = std::filesystem::exists(log) ? std::filesystem::file_size(log) : 0U;
    each.m_process = std::make_unique<process::child_process>(
        process::program_path("rhubarbwharfd"), std::vector<std::string>{"--config", each.m_settings_path}, log);
    start.m_to = steady_now();
    for (auto& earlier : each.m_disturbances) {
        earlier.m_to = std::min(earlier.m_to, start.m_to);
    }
    each.m_disturbances.push_back(start);
}

auto fleet::send_signal(const std::size_t index, const int signal_number) -> void {
    auto& each = m_daemons[index];
    if (signal_number == SIGKILL || signal_number == SIGSTOP) {
        each.m_disturbances.push_back({steady_now(), time_point::max(), signal_number == SIGSTOP});
    }
    each.m_process->send_signal(signal_number);
    if (signal_number == SIGCONT) {
        for (auto& earlier : each.m_disturbances) {
            earlier.m_to = std::min(earlier.m_to, steady_now());
        }
    }
}

auto fleet::set_store_link_fault(const std::size_t index, const link_fault fault) -> void {
    change_state(m_daemons[index].m_cuts, fault != link_fault::none && fault != link_fault::delay);
    run_in_proxy_loop([&] { m_daemons[index].m_store_proxy->set_fault(fault); });
}

auto fleet::logs() const -> std::string {
    std::string out{};
    for (const auto& each : m_daemons) {
        out += each.m_process->output();
    }
    return out;
}

} // namespace rhubarbwharf::soak
