// Version 2 of the weights is named, and a loader orders its runner to load it. The runner accepts the order late. The
// loader is killed meanwhile and starts again, and version 3 is named. Checks that the weights that the runner takes
// when it accepts the order are all of version 2, and that no token is made with others.
#include "../harness.hpp"

#include <openssl/evp.h>

using namespace review;

namespace {

constexpr int pieces = 48;
constexpr std::size_t piece_bytes = 49'152;
constexpr int layers = 16;
constexpr int events_per_stream = 8;
// Time that the origin's link of 15 Mbit/s takes for a piece.
constexpr double piece_ms = piece_bytes * 8 / 15e3;
// Time from the arrival of an order to its acceptance at the late runner.
constexpr double order_delay_ms = 800;
constexpr double restart_delay_ms = 300;
// Time that the runner takes to load a version.
constexpr double load_ms = 300;
constexpr auto key = "jnbanfqasnmgkcuyj8pj";
constexpr auto model = "daka510000";

auto piece_of(const std::int64_t version, const int piece) -> std::string {
    std::string out(piece_bytes, '\0');
    std::uint32_t state = static_cast<std::uint32_t>(version) * 7919U + static_cast<std::uint32_t>(piece) * 104729U + 1U;
    for (auto& each : out) {
        state = state * 1664525U + 1013904223U;
        each = static_cast<char>(state >> 24U);
    }
    return out;
}

auto sha256_hex(const std::string& bytes) -> std::string {
    unsigned char digest[EVP_MAX_MD_SIZE];
    unsigned length = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest, &length, EVP_sha256(), nullptr);
    std::string out{};
    for (unsigned index = 0; index < length; ++index) {
        char text[3];
        std::snprintf(text, sizeof(text), "%02x", digest[index]);
        out += text;
    }
    return out;
}

auto manifest_of(const std::int64_t version) -> std::string {
    json::array digests{};
    for (int piece = 0; piece < pieces; ++piece) {
        digests.push_back(json::value(sha256_hex(piece_of(version, piece))));
    }
    return json::serialize(json::object{{"model", model},
                                        {"version", version},
                                        {"chunk-bytes", piece_bytes},
                                        {"layers", layers},
                                        {"digests", digests}});
}

class origin {
public:
    origin() : m_server{[this](const request& incoming, int) { return answer_to(incoming); }} {
        for (const std::int64_t version : {1, 2, 3}) {
            m_manifests[version] = manifest_of(version);
        }
        m_server.start();
    }

    [[nodiscard]] auto port() const -> int { return m_server.port(); }

private:
    auto answer_to(const request& incoming) -> std::string {
        const auto version = std::atoll(incoming.query("version").c_str());
        const auto found = m_manifests.find(version);
        if (found == m_manifests.end()) {
            return format_response(404, {}, {});
        }
        if (incoming.path().rfind("/api/manifest/", 0) == 0) {
            return format_response(200, {{"Content-Type", "application/json"}}, found->second);
        }
        {
            // The pieces share the link.
            const std::lock_guard lock{m_link};
            sleep_ms(piece_ms);
        }
        return format_response(200, {}, piece_of(version, std::atoi(incoming.query("chunk-count").c_str())));
    }

    std::mutex m_link{};
    std::map<std::int64_t, std::string> m_manifests{};
    http_server m_server;
};

struct observations {
    std::mutex mutex{};
    // Name of the runner that got the first order; the only one that accepts it late.
    std::string late_runner{};
    bool order_arrived{false};
    bool order_handled{false};
    int mixed_loads{};
    std::atomic<int> tokens_on_mixed_weights{0};
    std::atomic<int> tokens{0};
};

// Model runner: stages pieces, loads them when it accepts an order, and answers streams with what it holds.
class runner {
public:
    runner(store& platform, observations& seen, std::string name)
        : m_store{platform}, m_seen{seen}, m_name{std::move(name)},
          m_server{[this](const request& incoming, const int handle) { return answer_to(incoming, handle); }} {
        for (int piece = 0; piece < pieces; ++piece) {
            m_staged[piece] = piece_of(1, piece);
        }
        m_server.start();
        publish();
    }

    [[nodiscard]] auto port() const -> int { return m_server.port(); }

    [[nodiscard]] auto name() const -> const std::string& { return m_name; }

private:
    auto describe() -> json::object {
        return {{"models", json::array{json::object{{"name", model}, {"version", m_version}, {"adapters", json::array{}}}}},
                {"layers", json::object{{"from", 0}, {"to", layers}, {"version", m_version}}},
                {"sequence", m_orders},
                {"born", m_born}};
    }

    void publish() {
        auto entry = describe();
        entry["service"] = "kueche-llm";
        entry["address"] = endpoint(m_server.port());
        entry["zone"] = "ost-a";
        entry["version"] = 1;
        entry["slots"] = 16;
        entry["state"] = "ready";
        entry["cold-remaining-ms"] = 0;
        m_store.put("servers/i-" + m_name, json::serialize(entry));
    }

    auto answer_to(const request& incoming, const int handle) -> std::string {
        const auto path = incoming.path();
        if (path == "/api/report") {
            const std::lock_guard lock{m_mutex};
            auto body = describe();
            body["stage"] = "both";
            body["busy"] = m_loading;
            body["waiting"] = 0;
            body["running"] = 0;
            body["kv-used"] = 0;
            body["kv-total"] = 1'180'000;
            body["handles"] = 0;
            return format_response(200, {{"Content-Type", "application/json"}}, json::serialize(body));
        }
        if (path.rfind("/api/stage-", 0) == 0) {
            return on_stage(incoming);
        }
        if (path == "/api/order") {
            return on_order(incoming);
        }
        return on_stream(incoming, handle);
    }

    auto on_stage(const request& incoming) -> std::string {
        const std::lock_guard lock{m_mutex};
        const auto number = incoming.query("chunk-count");
        if (number.empty()) {
            json::array held{};
            for (const auto& [piece, bytes] : m_staged) {
                held.push_back(piece);
            }
            return format_response(200, {{"Content-Type", "application/json"}}, json::serialize(json::object{{"held", held}}));
        }
        const auto piece = std::atoi(number.c_str());
        if (incoming.method == "PUT") {
            m_staged[piece] = incoming.content.body;
            return format_response(200, {}, {});
        }
        const auto found = m_staged.find(piece);
        return found == m_staged.end() ? format_response(404, {}, {}) : format_response(200, {}, found->second);
    }

    auto on_order(const request& incoming) -> std::string {
        const auto order = json::parse(incoming.content.body).as_object();
        const auto version = order.at("version").to_number<std::int64_t>();
        record.line("%s gets the order to load version %lld", m_name.c_str(), static_cast<long long>(version));
        {
            const std::lock_guard lock{m_seen.mutex};
            if (m_seen.late_runner.empty()) {
                m_seen.late_runner = m_name;
            }
            if (m_seen.late_runner == m_name) {
                m_seen.order_arrived = true;
            }
        }
        if (version == 2 && m_seen.late_runner == m_name) {
            sleep_ms(order_delay_ms);
        }
        const std::lock_guard lock{m_mutex};
        const auto* const expected = order.if_contains("expected");
        if (m_loading || (expected != nullptr && expected->to_number<std::int64_t>() != m_orders)) {
            record.line("%s refuses the order to load version %lld", m_name.c_str(), static_cast<long long>(version));
            return format_response(409, {}, {});
        }
        // The staged data is taken as it is now.
        int wrong = 0;
        for (int piece = 0; piece < pieces; ++piece) {
            wrong += m_staged[piece] == piece_of(version, piece) ? 0 : 1;
        }
        ++m_orders;
        m_loading = true;
        record.line("%s accepts the order to load version %lld; %d of %d pieces are of another version", m_name.c_str(),
                    static_cast<long long>(version), wrong, pieces);
        {
            const std::lock_guard seen{m_seen.mutex};
            m_seen.mixed_loads += wrong > 0 ? 1 : 0;
            m_seen.order_handled = m_seen.order_handled || m_seen.late_runner == m_name;
        }
        std::thread{[this, version, wrong] {
            sleep_ms(load_ms);
            {
                const std::lock_guard loaded{m_mutex};
                m_version = version;
                m_is_mixed = wrong > 0;
                m_loading = false;
            }
            publish();
        }}.detach();
        return format_response(202, {}, {});
    }

    auto on_stream(const request& incoming, const int handle) -> std::string {
        const auto attempt = incoming.content.header("Rhubarbwharf-Attempt-Id");
        std::int64_t version{};
        auto is_mixed = false;
        {
            const std::lock_guard lock{m_mutex};
            const auto pinned = incoming.content.header("Rhubarbwharf-Expect-Version");
            if (!pinned.empty() && std::atoll(pinned.c_str()) != m_version) {
                return format_response(421, {{"Rhubarbwharf-Attempt-Id", attempt}, {"Rhubarbwharf-Instance", "i-" + m_name}}, {});
            }
            if (m_loading) {
                return format_response(503, {{"Rhubarbwharf-Attempt-Id", attempt}, {"Rhubarbwharf-Not-Executed", "1"}}, {});
            }
            version = m_version;
            is_mixed = m_is_mixed;
        }
        const auto head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                          "Rhubarbwharf-Attempt-Id: " + attempt + "\r\nRhubarbwharf-Response-Seal: " + seal() +
                          "\r\nRhubarbwharf-Weight-Versions: " + std::to_string(version) + "\r\n\r\n";
        if (!send_all(handle, head)) {
            return {};
        }
        for (int number = 1; number <= events_per_stream; ++number) {
            sleep_ms(20);
            const auto event = "id: " + std::to_string(number) + "\ndata: token of " + std::to_string(version) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
            ++m_seen.tokens;
            if (is_mixed && m_seen.tokens_on_mixed_weights++ == 0) {
                record.line("WHOLE: %s makes a token for %s with weights of two versions", m_name.c_str(), attempt.c_str());
            }
            if (!send_all(handle, size + event + "\r\n")) {
                return {};
            }
        }
        return "0\r\n\r\n";
    }

    store& m_store;
    observations& m_seen;
    std::string m_name{};
    std::int64_t m_born{unix_ms()};
    std::mutex m_mutex{};
    std::map<int, std::string> m_staged{};
    std::int64_t m_version{1};
    std::int64_t m_orders{};
    bool m_loading{false};
    bool m_is_mixed{false};
    http_server m_server;
};

auto configuration(const int origin_port) -> std::string {
    const json::object route{{"name", "margin-report"}, {"hostname", "jepu9.example"}, {"prefix", "/lepu270/"},
                             {"service", "kueche-llm"}, {"kind", "streaming"},          {"resumable", true},
                             {"sticky", true},          {"max-attempts", 2},            {"timeout-ms", 6000},
                             {"target-latency-ms", 500}, {"gap-aim-ms", 400},           {"priority", 1}};
    const json::object engine{{"slots", 16},
                              {"step_ms", 8.87},
                              {"per_seq_ms", 0.0388},
                              {"context_per_k", 0.0227},
                              {"read_per_s", 19100.0},
                              {"pairs_per_m", 1.47},
                              {"chunk", 2048},
                              {"stride", 5},
                              {"layers", layers},
                              {"chunks", pieces},
                              {"chunk-bytes", piece_bytes},
                              {"report_lag_ms", 200},
                              {"usual", json::object{{"prompt", 900}, {"answer", 90}}},
                              {"models", json::array{json::object{{"name", model}}}}};
    const json::object llm{
        {"name", "kueche-llm"}, {"health-path", "/health"}, {"max-connections", 374}, {"engine", engine}};
    const json::object portal{{"name", "portal"},
                              {"health-path", "/health"},
                              {"max-connections", 48},
                              {"origin", endpoint(origin_port)}};
    const json::object limits{{"max-header-bytes", 16384},
                              {"max-body-bytes", 1048576},
                              {"header-timeout-ms", 10000},
                              {"idle-timeout-ms", 15000}};
    const json::object tenant{{"name", "bozi300"}, {"api-keys", json::array{key}}};
    return json::serialize(json::object{{"version", 3},
                                        {"routes", json::array{route}},
                                        {"services", json::array{llm, portal}},
                                        {"limits", limits},
                                        {"tenants", json::array{tenant}}});
}

auto loader_settings(const runner& side, const std::string& name, const int store_port, const json::array& seeds)
    -> std::string {
    const auto ports = free_ports(3);
    return json::serialize(json::object{
        {"role", "loader"},
        {"instance", name},
        {"region", "ost"},
        {"data_centre", "ost-a"},
        {"listen", json::object{{"bus", endpoint(ports[0])}, {"bulk", endpoint(ports[1])}, {"metrics", endpoint(ports[2])}}},
        {"store", json::object{{"address", endpoint(store_port)}}},
        {"bounds", json::object{{"grace_ms", 8000}, {"version_ms", 8000}}},
        {"runner", json::object{{"address", endpoint(side.port())}, {"service", "kueche-llm"}}},
        {"data_centres", zones_of_small_installation()},
        {"seeds", seeds}});
}

void name_version(store& platform, const int version) {
    platform.put(std::string{"op/version/"} + model,
                 json::serialize(json::object{{"model", model}, {"version", version}}));
    record.line("the store has acknowledged version %d", version);
}

auto run(const std::string& folder) -> int {
    store platform{};
    platform.start();
    origin weights{};
    platform.put("op/config", configuration(weights.port()));
    const auto places = small_installation();
    const auto seeds = seeds_of(places);
    std::vector<std::unique_ptr<daemon_process>> gateways{};
    for (const auto& place : places) {
        gateways.push_back(std::make_unique<daemon_process>(
            place.name, folder, gateway_settings(place, platform.port(), zones_of_small_installation(), seeds)));
        gateways.back()->start();
    }
    observations seen{};
    std::vector<std::unique_ptr<runner>> runners{};
    std::map<std::string, std::unique_ptr<daemon_process>> loaders{};
    for (const std::string name : {"side-ost-a-1", "side-ost-a-2", "side-ost-a-3"}) {
        runners.push_back(std::make_unique<runner>(platform, seen, name));
        loaders[name] = std::make_unique<daemon_process>(
            name, folder, loader_settings(*runners.back(), name, platform.port(), seeds));
        loaders[name]->start();
    }
    for (const auto& each : places) {
        if (!await_ready(each, 15'000)) {
            record.line("%s does not become ready", each.name.c_str());
            return 2;
        }
    }
    sleep_until_ms(10'000);
    std::atomic<bool> stopping{false};
    std::atomic<int> served{0};
    std::vector<std::thread> callers{};
    for (std::size_t index = 0; index < 16; ++index) {
        callers.emplace_back([&, index] {
            for (int number = 0; !stopping; ++number) {
                const auto attempt = "stream-" + std::to_string(index) + "-" + std::to_string(number);
                const auto result = call(places[index % 4].callers, "POST", "/lepu270/2f",
                                         {{"Host", "jepu9.example"},
                                          {"Rhubarbwharf-Attempt-Id", attempt},
                                          {"Rhubarbwharf-Model", model},
                                          {"Rhubarbwharf-Token-Count", "900,90"},
                                          {"Rhubarbwharf-Deadline-Ms", "6000"},
                                          {"Authorization", std::string{"Bearer "} + key}},
                                         "prompt " + attempt, 7'000);
                served += result.status == 200 ? 1 : 0;
                sleep_ms(result.status == 200 ? 30 : 300);
            }
        });
    }
    const auto finish = [&](const int status) {
        stopping = true;
        for (auto& each : callers) {
            each.join();
        }
        return status;
    };
    sleep_ms(2'000);
    name_version(platform, 2);
    const auto arrived_by = now_ms() + 8'000;
    std::string late{};
    while (late.empty() && now_ms() < arrived_by) {
        sleep_ms(5);
        const std::lock_guard lock{seen.mutex};
        late = seen.order_arrived ? seen.late_runner : std::string{};
    }
    if (late.empty()) {
        record.line("no runner got an order");
        return finish(2);
    }
    if (troubled()) {
        loaders[late]->signal(SIGKILL);
        loaders[late]->wait(1'000);
        record.line("the loader of %s is killed", late.c_str());
    }
    name_version(platform, 3);
    sleep_ms(restart_delay_ms);
    if (troubled()) {
        loaders[late]->start();
        record.line("the loader of %s starts again", late.c_str());
    }
    sleep_ms(8'000);
    finish(0);
    const std::lock_guard lock{seen.mutex};
    record.line("streams served: %d; tokens: %d, of these with weights of two versions: %d; mixed loads: %d",
                served.load(), seen.tokens.load(), seen.tokens_on_mixed_weights.load(), seen.mixed_loads);
    if (!seen.order_handled) {
        return 2;
    }
    return seen.tokens_on_mixed_weights > 0 ? 1 : 0;
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
