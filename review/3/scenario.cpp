// A config takes a key away, and the store falls silent right after it has acknowledged it. Once the store has answered
// again for longer than all bounds, checks that no gateway serves a request with that key.
#include "../harness.hpp"

using namespace review;

namespace {

constexpr double stable_window_ms = 3'000;
constexpr double config_apply_ms = 2'000;
constexpr double outer_ms = 5'000;
// Time for which the store is silent; standard days of this site have 2.2 to 8 s.
constexpr double silent_ms = 2'700;
constexpr auto kept_key = "jnbanfqasnmgkcuyj8pj";
constexpr auto revoked_key = "qhwvrkzmxeoiuytalsnd";

auto configuration(const int version, const json::array& keys) -> std::string {
    const json::object route{{"name", "post-correction"}, {"hostname", "voka93.example"}, {"prefix", "/filo73/"},
                             {"service", "buchung"},      {"kind", "non_idempotent"},     {"max-attempts", 1},
                             {"timeout-ms", 600},         {"target-latency-ms", 100},     {"priority", 2}};
    const json::object service{{"name", "buchung"}, {"health-path", "/health"}, {"max-connections", 110}};
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 10000},
                              {"idle-timeout-ms", 15000}};
    const json::object tenant{{"name", "bozi300"}, {"api-keys", keys}};
    return json::serialize(json::object{{"version", version},
                                        {"routes", json::array{route}},
                                        {"services", json::array{service}},
                                        {"limits", limits},
                                        {"tenants", json::array{tenant}}});
}

auto book(const gateway_place& place, const std::string& key, const std::string& attempt) -> int {
    return call(place.callers, "POST", "/filo73/" + attempt,
                {{"Host", "voka93.example"},
                 {"Rhubarbwharf-Attempt-Id", attempt},
                 {"Rhubarbwharf-Deadline-Ms", "600"},
                 {"Authorization", "Bearer " + key}},
                "correction " + attempt, 700)
        .status;
}

auto run(const std::string& folder) -> int {
    store platform{};
    platform.start();
    platform.put("op/config", configuration(3, {kept_key, revoked_key}));
    const auto places = small_installation();
    std::vector<std::unique_ptr<daemon_process>> gateways{};
    for (const auto& place : places) {
        gateways.push_back(std::make_unique<daemon_process>(
            place.name, folder,
            gateway_settings(place, platform.port(), zones_of_small_installation(), seeds_of(places))));
        gateways.back()->start();
    }
    std::mutex runs_mutex{};
    std::set<std::string> runs{};
    std::vector<std::unique_ptr<http_server>> runners{};
    for (const std::string region : {"ost", "west", "sued"}) {
        const auto id = "i-" + region + "-1";
        runners.push_back(std::make_unique<http_server>([&, id](const request& incoming, int) -> std::string {
            const auto attempt = incoming.content.header("Rhubarbwharf-Attempt-Id");
            header_list headers{{"Rhubarbwharf-Attempt-Id", attempt}};
            const auto expected = incoming.content.header("Rhubarbwharf-Expect-Instance");
            if (!expected.empty() && expected != id) {
                headers.emplace_back("Rhubarbwharf-Instance", id);
                return format_response(421, headers, {});
            }
            {
                const std::lock_guard lock{runs_mutex};
                runs.insert(attempt);
            }
            sleep_ms(15);
            headers.emplace_back("Rhubarbwharf-Response-Seal", seal());
            return format_response(200, headers, "booked " + attempt);
        }));
        runners.back()->start();
        platform.put("servers/" + id, json::serialize(json::object{{"service", "buchung"},
                                                                   {"address", endpoint(runners.back()->port())},
                                                                   {"zone", region + "-a"},
                                                                   {"version", 1},
                                                                   {"slots", 6},
                                                                   {"state", "ready"},
                                                                   {"cold-remaining-ms", 0},
                                                                   {"sequence", 1},
                                                                   {"born", unix_ms()}}));
    }
    for (const auto& each : places) {
        if (!await_ready(each, 15'000)) {
            record.line("%s does not become ready", each.name.c_str());
            return 2;
        }
    }
    sleep_until_ms(10'000);
    for (const auto& place : places) {
        if (book(place, revoked_key, "before-" + place.name) != 200) {
            record.line("%s does not serve before the change", place.name.c_str());
            return 2;
        }
    }
    // An earlier change, which all gateways apply.
    platform.put("op/config", configuration(5, {kept_key, revoked_key}));
    record.line("the store has acknowledged an earlier change");
    sleep_ms(1'500);
    if (troubled()) {
        platform.put_and_fall_silent("op/config", configuration(8, {kept_key}), silent_ms);
    } else {
        platform.put("op/config", configuration(8, {kept_key}));
    }
    const auto acknowledged = now_ms();
    record.line("the store has acknowledged the config without the key");
    // The store is stable from here on; then the bound of a config begins, stretched as far as it can be.
    const auto bound = acknowledged + silent_ms + stable_window_ms + config_apply_ms + outer_ms;
    sleep_until_ms(bound + 300);
    int late = 0;
    for (int round = 0; round < 5; ++round) {
        for (const auto& place : places) {
            const auto attempt = "late-" + std::to_string(round) + "-" + place.name;
            const auto sent = now_ms();
            const auto status = book(place, revoked_key, attempt);
            const std::lock_guard lock{runs_mutex};
            if (runs.contains(attempt)) {
                ++late;
                record.line("CONFIG: %s, sent with the revoked key %.0f ms after the acknowledgement, has run and is "
                            "answered %d",
                            attempt.c_str(), sent - acknowledged, status);
            } else {
                record.line("%s, sent with the revoked key %.0f ms after the acknowledgement, is answered %d",
                            attempt.c_str(), sent - acknowledged, status);
            }
        }
        sleep_ms(1'000);
    }
    record.line("bookings with the revoked key that ran too late: %d", late);
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
