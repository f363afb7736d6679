// The store does not answer two gateways of a region for three seconds. Meanwhile a ledger runner drains. Sends
// bookings to the other gateways of the region, which reach the store all the time, and checks that none arrives at the
// runner later than `drain-ms` after the store acknowledged that it drains.
#include "../harness.hpp"

using namespace review;

namespace {

constexpr double drain_ms = 2'000;
// Time from the acknowledgement to the end of the runner: `drain-ms` and a little longer.
constexpr double runner_stays_ms = drain_ms + 560;
// Time for which the store does not answer them; the pages play up to 9 s.
constexpr double cut_ms = 3'000;
// Longest work of a booking on the sheet.
constexpr double work_ms = 110;
constexpr auto key = "jnbanfqasnmgkcuyj8pj";

struct arrival {
    std::string attempt{};
    double at{};
};

// Runner of the ledger: registers itself, answers bookings, and says in its answers when it leaves.
class ledger {
public:
    ledger(store& platform, std::string id, std::string zone)
        : m_store{platform}, m_id{std::move(id)}, m_zone{std::move(zone)},
          m_server{[this](const request& incoming, int) { return answer_to(incoming); }} {}

    auto start() -> bool {
        if (!m_server.start()) {
            return false;
        }
        publish("ready");
        m_heartbeat = std::thread{[this] {
            for (int step = 1; !m_ended; ++step) {
                sleep_ms(100);
                if (step % 12 == 0 && !m_ended) {
                    publish(m_leaving ? "draining" : "ready");
                }
            }
        }};
        return true;
    }

    // Reports `draining`. Returns when the store has acknowledged it.
    void drain() {
        m_leaving = true;
        publish("draining");
    }

    void end() {
        if (!m_ended.exchange(true)) {
            m_heartbeat.join();
            m_server.stop();
            m_store.remove("servers/" + m_id);
        }
    }

    ~ledger() { end(); }

    [[nodiscard]] auto arrivals() -> std::vector<arrival> {
        const std::lock_guard lock{m_mutex};
        return m_arrivals;
    }

    [[nodiscard]] auto id() const -> const std::string& { return m_id; }

private:
    void publish(const std::string& state) {
        const std::lock_guard lock{m_publishing};
        m_store.put("servers/" + m_id, json::serialize(json::object{{"service", "buchung"},
                                                                    {"address", endpoint(m_server.port())},
                                                                    {"zone", m_zone},
                                                                    {"version", 1},
                                                                    {"slots", 6},
                                                                    {"state", state},
                                                                    {"cold-remaining-ms", 0},
                                                                    {"sequence", ++m_sequence},
                                                                    {"born", m_born}}));
    }

    auto answer_to(const request& incoming) -> std::string {
        header_list headers{{"Rhubarbwharf-Attempt-Id", incoming.content.header("Rhubarbwharf-Attempt-Id")}};
        if (m_leaving) {
            headers.emplace_back("Server-Leaving", "1");
        }
        if (incoming.path() == "/health") {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(m_leaving ? 503 : 200, headers, {});
        }
        const auto expected = incoming.content.header("Rhubarbwharf-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(421, headers, {});
        }
        const auto attempt = incoming.content.header("Rhubarbwharf-Attempt-Id");
        {
            const std::lock_guard lock{m_mutex};
            m_arrivals.push_back({attempt, now_ms()});
        }
        record.line("%s runs %s", m_id.c_str(), attempt.c_str());
        sleep_ms(work_ms);
        if (m_ended) {
            record.line("%s ended while it ran %s", m_id.c_str(), attempt.c_str());
            return {};
        }
        headers.emplace_back("Rhubarbwharf-Response-Seal", seal());
        return format_response(200, headers, "booked " + attempt);
    }

    store& m_store;
    std::string m_id{};
    std::string m_zone{};
    std::int64_t m_born{unix_ms()};
    std::atomic<bool> m_leaving{false};
    std::atomic<bool> m_ended{false};
    std::mutex m_publishing{};
    int m_sequence{};
    std::mutex m_mutex{};
    std::vector<arrival> m_arrivals{};
    std::thread m_heartbeat{};
    http_server m_server;
};

auto configuration() -> std::string {
    const json::object route{{"name", "post-correction"}, {"hostname", "voka93.example"}, {"prefix", "/filo73/"},
                             {"service", "buchung"},      {"kind", "non_idempotent"},     {"max-attempts", 1},
                             {"timeout-ms", 600},         {"target-latency-ms", 100},     {"priority", 2}};
    const json::object service{{"name", "buchung"}, {"health-path", "/health"}, {"max-connections", 110}};
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 10000},
                              {"idle-timeout-ms", 15000}};
    const json::object tenant{{"name", "bozi300"}, {"api-keys", json::array{key}}};
    return json::serialize(json::object{{"version", 3},
                                        {"routes", json::array{route}},
                                        {"services", json::array{service}},
                                        {"limits", limits},
                                        {"tenants", json::array{tenant}}});
}

auto book(const gateway_place& place, const std::string& attempt) -> int {
    record.line("%s is sent to %s", attempt.c_str(), place.name.c_str());
    const auto result = call(place.callers, "POST", "/filo73/" + attempt,
                             {{"Host", "voka93.example"},
                              {"Rhubarbwharf-Attempt-Id", attempt},
                              {"Rhubarbwharf-Deadline-Ms", "600"},
                              {"Authorization", std::string{"Bearer "} + key}},
                             "correction " + attempt, 700);
    record.line("%s is answered %d by %s", attempt.c_str(), result.status, place.name.c_str());
    return result.status;
}

auto run(const std::string& folder) -> int {
    store platform{};
    platform.start();
    platform.put("op/config", configuration());
    const auto places = small_installation();
    std::vector<std::unique_ptr<proxy>> links{};
    std::vector<std::unique_ptr<daemon_process>> gateways{};
    for (std::size_t index = 0; index < places.size(); ++index) {
        // The first two gateways reach the store over links that can be cut.
        auto store_port = platform.port();
        if (index < 2) {
            links.push_back(std::make_unique<proxy>(store_port));
            links.back()->start();
            store_port = links.back()->port();
        }
        gateways.push_back(std::make_unique<daemon_process>(
            places[index].name, folder,
            gateway_settings(places[index], store_port, zones_of_small_installation(), seeds_of(places))));
        gateways.back()->start();
    }
    std::vector<std::unique_ptr<ledger>> runners{};
    for (const std::string region : {"ost", "west", "sued"}) {
        runners.push_back(std::make_unique<ledger>(platform, "i-" + region + "-1", region + "-a"));
        runners.back()->start();
    }
    for (const auto& each : places) {
        if (!await_ready(each, 15'000)) {
            record.line("%s does not become ready", each.name.c_str());
            return 2;
        }
    }
    // Traffic starts 10 s after the machines.
    sleep_until_ms(10'000);
    const std::vector<const gateway_place*> calm{&places[2], &places[3]};
    for (int number = 0; number < 4; ++number) {
        for (const auto* const place : calm) {
            if (book(*place, "before-" + place->name + "-" + std::to_string(number)) != 200) {
                record.line("a booking before the disruption failed");
                return 2;
            }
        }
        sleep_ms(500);
    }
    // The runner that has served them drains: it is the one of the region.
    auto& leaving = *runners[0];
    if (leaving.arrivals().empty()) {
        record.line("%s has run nothing", leaving.id().c_str());
        return 2;
    }
    if (troubled()) {
        record.line("the store answers %s and %s no longer", places[0].name.c_str(), places[1].name.c_str());
        for (const auto& each : links) {
            each->cut(true);
        }
    }
    sleep_ms(200);
    leaving.drain();
    const auto acknowledged = now_ms();
    record.line("the store has acknowledged that %s drains", leaving.id().c_str());
    std::thread end_of_runner{[&] {
        sleep_until_ms(acknowledged + runner_stays_ms);
        record.line("%s ends", leaving.id().c_str());
        leaving.end();
    }};
    std::thread end_of_cut{[&] {
        sleep_until_ms(acknowledged - 200 + cut_ms);
        for (const auto& each : links) {
            each->cut(false);
        }
        record.line("the store answers all machines");
    }};
    sleep_until_ms(acknowledged + drain_ms + 480);
    std::vector<std::thread> callers{};
    std::atomic<int> lost{0};
    for (const auto* const place : calm) {
        callers.emplace_back([&lost, place] { lost += book(*place, "after-" + place->name) == 200 ? 0 : 1; });
    }
    for (auto& each : callers) {
        each.join();
    }
    end_of_runner.join();
    end_of_cut.join();
    sleep_ms(1'000);
    int late = 0;
    for (const auto& each : leaving.arrivals()) {
        if (each.at > acknowledged + drain_ms) {
            ++late;
            record.line("DRAIN: %s reached %s %.0f ms after the acknowledgement", each.attempt.c_str(),
                        leaving.id().c_str(), each.at - acknowledged);
        }
    }
    record.line("late arrivals: %d; bookings without a success: %d", late, lost.load());
    return late > 0 ? 1 : 0;
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
