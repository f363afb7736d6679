// A lookup crashes each runner that begins it and comes again, as some requests do. Once it has crashed three runners
// the gateways refuse it. Then four gateways are stopped and started one after the other. Counts the retries that still
// reach runners, sent by gateways that have run undisturbed for longer than `stable-window-ms`.
#include "../harness.hpp"

using namespace review;

namespace {

constexpr double stable_window_ms = 3'000;
constexpr double grace_ms = 8'000;
constexpr int allowed_retries = 3;
// Time after which a crashed runner is back, with a new id.
constexpr double down_ms = 2'000;
constexpr int restarted_gateways = 4;
constexpr auto key = "jnbanfqasnmgkcuyj8pj";
constexpr auto poison_path = "/voda12/7c";

struct run_begin {
    std::string attempt{};
    double at{};
};

struct observations {
    std::mutex mutex{};
    std::vector<run_begin> poison_runs{};
    std::vector<double> crashes{};
    std::vector<std::string> cut_bookings{};
};

// Runner of the ledger. Crashes when it begins the poisonous lookup, and is back later at the same address.
class ledger {
public:
    ledger(store& platform, observations& seen, std::string name, std::string zone)
        : m_store{platform}, m_seen{seen}, m_name{std::move(name)}, m_zone{std::move(zone)} {}

    void start() {
        come_up();
        m_keeper = std::thread{[this] { keep(); }};
    }

    ~ledger() {
        m_stopping = true;
        m_keeper.join();
        m_server->stop();
    }

private:
    void come_up() {
        m_born = unix_ms();
        m_id = "i-" + m_name + "-" + std::to_string(++m_boots);
        m_crashed = false;
        m_server = std::make_unique<http_server>([this](const request& incoming, int) { return answer_to(incoming); });
        m_server->start(m_port);
        m_port = m_server->port();
        publish();
    }

    void publish() {
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

    // Sends liveness reports, and starts the runner again after a crash.
    void keep() {
        auto next_report = now_ms() + 1'200;
        while (!m_stopping) {
            sleep_ms(5);
            if (m_crashed) {
                const auto crashed_at = now_ms();
                const auto former = m_id;
                m_server->stop();
                sleep_until_ms(crashed_at + down_ms);
                come_up();
                m_store.remove("servers/" + former);
                next_report = now_ms() + 1'200;
            } else if (now_ms() >= next_report) {
                publish();
                next_report += 1'200;
            }
        }
    }

    auto answer_to(const request& incoming) -> std::string {
        const auto attempt = incoming.content.header("Rhubarbwharf-Attempt-Id");
        header_list headers{{"Rhubarbwharf-Attempt-Id", attempt}};
        if (m_crashed) {
            return {};
        }
        if (incoming.path() == "/health") {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(200, headers, {});
        }
        const auto expected = incoming.content.header("Rhubarbwharf-Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            headers.emplace_back("Rhubarbwharf-Instance", m_id);
            return format_response(421, headers, {});
        }
        if (incoming.path() == poison_path) {
            {
                const std::lock_guard lock{m_seen.mutex};
                m_seen.poison_runs.push_back({attempt, now_ms()});
                m_seen.crashes.push_back(now_ms());
            }
            record.line("%s runs %s and crashes", m_id.c_str(), attempt.c_str());
            m_crashed = true;
            return {};
        }
        sleep_ms(110);
        if (m_crashed) {
            const std::lock_guard lock{m_seen.mutex};
            m_seen.cut_bookings.push_back(attempt);
            record.line("%s crashed while it ran %s", m_id.c_str(), attempt.c_str());
            return {};
        }
        headers.emplace_back("Rhubarbwharf-Response-Seal", seal());
        return format_response(200, headers, "done " + attempt);
    }

    store& m_store;
    observations& m_seen;
    std::string m_name{};
    std::string m_zone{};
    std::string m_id{};
    std::int64_t m_born{};
    int m_port{};
    int m_boots{};
    int m_sequence{};
    std::atomic<bool> m_crashed{false};
    std::atomic<bool> m_stopping{false};
    std::unique_ptr<http_server> m_server{};
    std::thread m_keeper{};
};

auto configuration() -> std::string {
    const json::object booking{{"name", "post-correction"}, {"hostname", "voka93.example"}, {"prefix", "/filo73/"},
                               {"service", "buchung"},      {"kind", "non_idempotent"},     {"max-attempts", 1},
                               {"timeout-ms", 600},         {"target-latency-ms", 100},     {"priority", 2}};
    const json::object lookup{{"name", "cost-lookup"}, {"hostname", "voka93.example"}, {"prefix", "/voda12/"},
                              {"service", "buchung"},  {"kind", "idempotent"},         {"max-attempts", 2},
                              {"timeout-ms", 600},     {"target-latency-ms", 100},     {"priority", 2}};
    const json::object service{{"name", "buchung"}, {"health-path", "/health"}, {"max-connections", 110}};
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 10000},
                              {"idle-timeout-ms", 15000}};
    const json::object tenant{{"name", "bozi300"}, {"api-keys", json::array{key}}};
    return json::serialize(json::object{{"version", 3},
                                        {"routes", json::array{booking, lookup}},
                                        {"services", json::array{service}},
                                        {"limits", limits},
                                        {"tenants", json::array{tenant}}});
}

auto ask(const gateway_place& place, const std::string& method, const std::string& path, const std::string& attempt)
    -> int {
    return call(place.callers, method, path,
                {{"Host", "voka93.example"},
                 {"Rhubarbwharf-Attempt-Id", attempt},
                 {"Rhubarbwharf-Deadline-Ms", "600"},
                 {"Authorization", std::string{"Bearer "} + key}},
                method == "POST" ? "correction " + attempt : std::string{}, 700)
        .status;
}

class caller {
public:
    // Sends the poisonous lookup once, as a new attempt.
    void send(const gateway_place& place) {
        const auto attempt = "poison-" + std::to_string(++m_count);
        const auto status = ask(place, "GET", poison_path, attempt);
        record.line("%s to %s is answered %d", attempt.c_str(), place.name.c_str(), status);
    }

private:
    int m_count{};
};

auto run(const std::string& folder) -> int {
    store platform{};
    platform.start();
    platform.put("op/config", configuration());
    const auto places = small_installation();
    std::vector<std::unique_ptr<daemon_process>> gateways{};
    for (const auto& place : places) {
        gateways.push_back(std::make_unique<daemon_process>(
            place.name, folder,
            gateway_settings(place, platform.port(), zones_of_small_installation(), seeds_of(places))));
        gateways.back()->start();
    }
    observations seen{};
    std::vector<std::unique_ptr<ledger>> runners{};
    for (const std::string region : {"ost", "west", "sued"}) {
        runners.push_back(std::make_unique<ledger>(platform, seen, region, region + "-a"));
        runners.back()->start();
    }
    for (const auto& each : places) {
        if (!await_ready(each, 15'000)) {
            record.line("%s does not become ready", each.name.c_str());
            return 2;
        }
    }
    sleep_until_ms(10'000);
    // Bookings of other callers, at the gateways that are not restarted.
    std::atomic<bool> stopping{false};
    std::atomic<int> bookings{0};
    std::vector<std::thread> others{};
    for (std::size_t index = restarted_gateways; index < places.size(); ++index) {
        others.emplace_back([&, index] {
            for (int number = 0; !stopping; ++number) {
                ++bookings;
                ask(places[index], "POST", "/filo73/x",
                    "booking-" + places[index].name + "-" + std::to_string(number));
                sleep_ms(40);
            }
        });
    }
    const auto finish = [&](const int status) {
        stopping = true;
        for (auto& each : others) {
            each.join();
        }
        return status;
    };
    caller consumer{};
    double third_crash{};
    for (std::size_t step = 0; third_crash == 0 && step < 6; ++step) {
        consumer.send(places[step % places.size()]);
        sleep_ms(down_ms + 1'000);
        const std::lock_guard lock{seen.mutex};
        third_crash = seen.crashes.size() >= 3 ? seen.crashes[2] : 0;
    }
    if (third_crash == 0) {
        record.line("the lookup has not crashed three runners");
        return finish(2);
    }
    record.line("the third runner crashed at %.0f ms", third_crash);
    sleep_until_ms(third_crash + stable_window_ms + 500);
    for (const auto& place : places) {
        consumer.send(place);
    }
    for (std::size_t index = 0; index < restarted_gateways; ++index) {
        if (troubled()) {
            gateways[index]->signal(SIGTERM);
            record.line("%s gets SIGTERM", places[index].name.c_str());
            if (!gateways[index]->wait(grace_ms)) {
                gateways[index]->signal(SIGKILL);
                gateways[index]->wait(1'000);
            }
            sleep_ms(300);
            gateways[index]->start();
            if (!await_ready(places[index], 10'000)) {
                record.line("%s does not become ready again", places[index].name.c_str());
                return finish(2);
            }
            record.line("%s is ready again", places[index].name.c_str());
        }
        sleep_ms(stable_window_ms + 500);
        for (int retry = 0; retry < 3; ++retry) {
            consumer.send(places[index]);
            sleep_ms(down_ms + 800);
        }
    }
    finish(0);
    std::set<std::string> late{};
    const std::lock_guard lock{seen.mutex};
    for (const auto& each : seen.poison_runs) {
        if (each.at > third_crash + stable_window_ms) {
            late.insert(each.attempt);
        }
    }
    for (const auto& each : late) {
        record.line("BUDGET: %s reached a runner later than %.0f ms after the third crash", each.c_str(),
                    stable_window_ms);
    }
    record.line("late retries that reached a runner: %zu, allowed: %d; crashes: %zu; bookings of others: %d, cut by a "
                "crash: %zu",
                late.size(), allowed_retries, seen.crashes.size(), bookings.load(), seen.cut_bookings.size());
    return static_cast<int>(late.size()) > allowed_retries ? 1 : 0;
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
