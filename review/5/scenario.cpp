// Tablets poll one lookup on a route that a later config has added; other callers use a route of the first config. One
// ledger runner crashes and comes back. Compares how often both routes are served once all is calm again.
#include "../common/harness.hpp"

using namespace review;

namespace {

constexpr double stable_window_ms = 3'000;
constexpr double config_apply_ms = 2'000;
// Time for which the runner is down, as in the list of troubles.
constexpr double down_ms = 4'500;
constexpr double measured_ms = 15'000;
// Requests from which the rule counts, and the share of the first routes' success that it asks for.
constexpr int counted_requests = 20;
constexpr double required_ratio = 0.25;
// Longest work of a lookup on the sheet.
constexpr double work_ms = 110;
constexpr int tablets = 8;
constexpr auto key = "jnbanfqasnmgkcuyj8pj";

// Runner of the ledger, which can crash and come back at its address with a new id.
class ledger {
public:
    ledger(store& platform, std::string name, std::string zone)
        : m_store{platform}, m_name{std::move(name)}, m_zone{std::move(zone)} {}

    void start() {
        m_born = unix_ms();
        m_id = "i-" + m_name + "-" + std::to_string(++m_boots);
        m_up = true;
        m_server = std::make_unique<http_server>([this](const request& incoming, int) { return answer_to(incoming); });
        m_server->start(m_port);
        m_port = m_server->port();
        publish();
        if (!m_heartbeat.joinable()) {
            m_heartbeat = std::thread{[this] {
                for (int step = 1; !m_stopping; ++step) {
                    sleep_ms(100);
                    if (step % 12 == 0 && m_up) {
                        publish();
                    }
                }
            }};
        }
    }

    void crash() {
        m_up = false;
        record.line("%s crashes with %d requests", m_id.c_str(), m_running.load());
        m_server->stop();
    }

    // Removes the entry of the crashed boot and starts the next one.
    void come_back() {
        m_store.remove("servers/" + m_id);
        start();
        record.line("%s has started in its place", m_id.c_str());
    }

    ~ledger() {
        m_stopping = true;
        m_heartbeat.join();
        m_server->stop();
    }

private:
    void publish() {
        const std::lock_guard lock{m_publishing};
        m_store.put("servers/" + m_id, json::serialize(json::object{{"service", "buchung"},
                                                                    {"address", endpoint(m_port)},
                                                                    {"zone", m_zone},
                                                                    {"version", 1},
                                                                    {"slots", 6},
                                                                    {"state", "ready"},
                                                                    {"cold-remaining-ms", 0},
                                                                    {"sequence", ++m_sequence},
                                                                    {"born", m_born}}));
    }

    auto answer_to(const request& incoming) -> std::string {
        const auto attempt = incoming.content.header("Rhubarbwharf-Attempt-Id");
        header_list headers{{"Rhubarbwharf-Attempt-Id", attempt}};
        if (incoming.path() == "/health") {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(200, headers, {});
        }
        const auto expected = incoming.content.header("Rhubarbwharf-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(421, headers, {});
        }
        if (m_running >= 6 + 24) {
            headers.emplace_back("Rhubarbwharf-Not-Executed", "1");
            return format_response(503, headers, {});
        }
        ++m_running;
        sleep_ms(work_ms);
        --m_running;
        headers.emplace_back("Rhubarbwharf-Response-Seal", seal());
        return format_response(200, headers, "state of " + incoming.path());
    }

    store& m_store;
    std::string m_name{};
    std::string m_zone{};
    std::string m_id{};
    std::int64_t m_born{};
    int m_port{};
    int m_boots{};
    int m_sequence{};
    std::mutex m_publishing{};
    std::atomic<int> m_running{0};
    std::atomic<bool> m_up{false};
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<http_server> m_server{};
    std::thread m_heartbeat{};
};

auto route(const std::string& name, const std::string& prefix) -> json::object {
    return {{"name", name},        {"hostname", "voka93.example"}, {"prefix", prefix},
            {"service", "buchung"}, {"kind", "idempotent"},         {"max-attempts", 2},
            {"timeout-ms", 1000},   {"target-latency-ms", 100},     {"priority", 2}};
}

auto configuration(const int version, const json::array& routes) -> std::string {
    const json::object service{{"name", "buchung"}, {"health-path", "/health"}, {"max-connections", 110}};
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 10000},
                              {"idle-timeout-ms", 15000}};
    const json::object tenant{{"name", "bozi300"}, {"api-keys", json::array{key}}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", routes},
                                        {"services", json::array{service}},
                                        {"limits", limits},
                                        {"tenants", json::array{tenant}}});
}

struct tally {
    std::atomic<int> sent{0};
    std::atomic<int> served{0};

    [[nodiscard]] auto share() const -> double {
        return sent == 0 ? 0.0 : static_cast<double>(served) / static_cast<double>(sent);
    }
};

auto run(const std::string& folder) -> int {
    store platform{};
    platform.start();
    const auto first_route = route("cost-lookup", "/voda12/");
    const auto later_route = route("line-state", "/zeta5/");
    platform.put("op/config", configuration(3, {first_route}));
    const auto places = small_installation();
    std::vector<std::unique_ptr<daemon_process>> gateways{};
    for (const auto& place : places) {
        gateways.push_back(std::make_unique<daemon_process>(
            place.name, folder,
            gateway_settings(place, platform.port(), zones_of_small_installation(), seeds_of(places))));
        gateways.back()->start();
    }
    std::vector<std::unique_ptr<ledger>> runners{};
    for (const std::string region : {"ost", "west", "sued"}) {
        runners.push_back(std::make_unique<ledger>(platform, region, region + "-a"));
        runners.back()->start();
    }
    for (const auto& each : places) {
        if (!await_ready(each, 15'000)) {
            record.line("%s does not become ready", each.name.c_str());
            return 2;
        }
    }
    sleep_until_ms(10'000);
    platform.put("op/config", configuration(8, {first_route, later_route}));
    record.line("the store has acknowledged the config with the later route");
    sleep_ms(config_apply_ms + 1'000);

    std::atomic<bool> stopping{false};
    std::atomic<bool> measuring{false};
    std::atomic<int> count{0};
    tally first{};
    tally later{};
    std::mutex statuses_mutex{};
    std::map<int, int> later_statuses{};
    const auto look_up = [&](const gateway_place& place, const std::string& path, tally& result) {
        const auto counts = measuring.load();
        const auto status = call(place.callers, "GET", path,
                                 {{"Host", "voka93.example"},
                                  {"Rhubarbwharf-Attempt-Id", "lookup-" + std::to_string(++count)},
                                  {"Rhubarbwharf-Deadline-Ms", "600"},
                                  {"Authorization", std::string{"Bearer "} + key}},
                                 {}, 700)
                                .status;
        if (counts) {
            ++result.sent;
            result.served += status == 200 ? 1 : 0;
            if (&result == &later) {
                const std::lock_guard lock{statuses_mutex};
                ++later_statuses[status];
            }
        }
        return status;
    };
    std::vector<std::thread> callers{};
    for (int tablet = 0; tablet < tablets; ++tablet) {
        callers.emplace_back([&, tablet] {
            const auto& place = places[static_cast<std::size_t>(tablet) % 4];
            while (!stopping) {
                const auto status = look_up(place, "/zeta5/line-7", later);
                sleep_ms(status == 200 ? 60 : 600);
            }
        });
    }
    for (int index = 0; index < 3; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; !stopping; ++number) {
                look_up(places[static_cast<std::size_t>(index) * 3],
                        "/voda12/plate-" + std::to_string(index) + "-" + std::to_string(number), first);
                sleep_ms(150);
            }
        });
    }
    sleep_ms(4'000);
    if (troubled()) {
        runners[0]->crash();
        sleep_ms(down_ms);
        runners[0]->come_back();
    } else {
        sleep_ms(down_ms);
    }
    // Steady state: all has been calm for longer than the stable window.
    sleep_ms(stable_window_ms + 2'000);
    record.line("measurement begins");
    measuring = true;
    sleep_ms(measured_ms);
    measuring = false;
    stopping = true;
    for (auto& each : callers) {
        each.join();
    }
    for (const auto& [status, answers] : later_statuses) {
        record.line("later route: %d requests answered %d", answers, status);
    }
    record.line("first route: %d of %d served; later route: %d of %d served", first.served.load(), first.sent.load(),
                later.served.load(), later.sent.load());
    if (first.sent < counted_requests || later.sent < counted_requests) {
        return 2;
    }
    const auto is_broken = later.share() < required_ratio * first.share();
    if (is_broken) {
        record.line("CONFIG: the later route is served less than a quarter as often as the first one");
    }
    return is_broken ? 1 : 0;
}

} // namespace

int main(int count, char** arguments) {
    if (count != 3) {
        return 2;
    }
    std::signal(SIGPIPE, SIG_IGN);
    record.open(arguments[1]);
    const auto status = run(arguments[2]);
    record.line("exit %d", status);
    return status;
}
