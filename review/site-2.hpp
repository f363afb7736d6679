// Stand-ins for runners of a model and for plain servers, with the origin of the weights, as PROTOCOL.md describes
// them.
#pragma once

#include "harness-2.hpp"

namespace review {

constexpr auto host = "site.example";
constexpr auto model = "model0";
constexpr unsigned layers = 16U;
// Pieces of a version; set before anything starts.
inline unsigned pieces = 8U;
constexpr std::size_t piece_bytes = 4096U;

inline auto piece_of(const std::uint64_t version, const std::size_t index) -> std::string {
    return std::string(piece_bytes, static_cast<char>('a' + (version * 7U + index) % 26U));
}

inline auto sha256_hex(const std::string& text) -> std::string {
    unsigned char digest[SHA256_DIGEST_LENGTH];
    SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest);
    std::string out{};
    for (const auto byte : digest) {
        char hex[3];
        std::snprintf(hex, sizeof(hex), "%02x", byte);
        out += hex;
    }
    return out;
}

inline auto unix_ms() -> std::int64_t {
    return std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// The service from which weights are downloaded.
class origin {
public:
    origin()
        : m_server{[](stream& on, const message& request) {
              return answer(on, request);
          }} {}

    [[nodiscard]] auto port() const -> std::uint16_t { return m_server.port(); }

private:
    static auto answer(stream& on, const message& request) -> bool {
        const auto text = request.query("version");
        const auto version = text.empty() ? 1U : std::stoull(text);
        if (request.path().rfind("/api/manifest/", 0U) == 0U) {
            json::array digests{};
            for (std::size_t index = 0U; index < pieces; ++index) {
                digests.emplace_back(sha256_hex(piece_of(version, index)));
            }
            return respond(on, 200,
                           json::serialize(json::object{{"model", model},
                                                        {"version", version},
                                                        {"chunk-bytes", piece_bytes},
                                                        {"layers", layers},
                                                        {"digests", digests}}));
        }
        return respond(on, 200, piece_of(version, std::stoull(request.query("chunk-count"))));
    }

    http_server m_server;
};

struct server_options {
    std::string m_service{};
    std::string m_zone{"ost-a"};
    unsigned m_slots{8U};
    bool m_has_model{false};
    int m_work_ms{15};
    // Events of a stream, and the time between two of them.
    unsigned m_events{12U};
    int m_event_gap_ms{60};
};

// One run of a request at a server, or one arrival.
struct run {
    double m_at_s{};
    std::string m_attempt{};
    std::string m_server{};
    std::string m_body{};
    bool m_has_begun{false};
};

// What all servers of a site have seen.
struct observations {
    std::mutex m_mutex{};
    std::vector<run> m_arrivals{};
    // Crashes that a request has caused: when, and its body.
    std::vector<run> m_crashes{};
};

// A runner of a model, or a plain server.
class server {
public:
    server(store& registry, recorder& record, observations& seen, server_options options, std::string name)
        : m_registry{registry}, m_record{record}, m_seen{seen}, m_options{std::move(options)}, m_name{std::move(name)},
          m_http{[this](stream& on, const message& request) {
              return answer(on, request);
          }} {
        if (m_options.m_has_model) {
            m_version = 1U;
            for (std::size_t index = 0U; index < pieces; ++index) {
                m_staged[index] = piece_of(1U, index);
            }
        }
        begin();
        std::thread{[this] {
            beat();
        }}.detach();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return m_http.port(); }

    [[nodiscard]] auto id() -> std::string {
        const std::lock_guard lock{m_mutex};
        return m_id;
    }

    [[nodiscard]] auto serves() -> bool {
        const std::lock_guard lock{m_mutex};
        return m_is_up && (!m_options.m_has_model || m_version != 0U);
    }

    // A request with this body crashes the server.
    std::string m_crash_body{};
    // Events that the request gets before the server crashes, and time until then.
    unsigned m_crash_after_events{};
    int m_crash_delay_ms{30};
    // Time after which a crashed server is back, and after which its entry leaves the store.
    int m_down_ms{2'500};
    int m_entry_ms{3'600};

    // Time that it takes to read a staged piece.
    int m_stage_read_ms{0};
    // Called after a staged piece was read.
    std::function<void(std::size_t)> m_on_stage_read{};

    // Staged pieces turn bad.
    auto spoil(const std::vector<std::size_t>& indices) -> void {
        const std::lock_guard lock{m_mutex};
        for (const auto index : indices) {
            m_staged[index][0] = '!';
            m_spoilt_at[index] = m_record.now_s();
            m_record.write("piece %zu that lies at %s turns bad", index, m_id.c_str());
        }
    }

    // Streams begun with a layer that was taken while one of its pieces was bad for longer than 3 s.
    [[nodiscard]] auto spoilt_streams() const -> unsigned { return m_spoilt_streams; }

    // Crashes, whatever it runs.
    auto fail() -> void { crash({}); }

    // Leaves without reporting `draining`: the entry is removed, and the server goes on serving. @return Its id.
    auto leave_silently() -> std::string {
        const std::lock_guard lock{m_mutex};
        m_is_registered = false;
        m_registry.remove("servers/" + m_id);
        return m_id;
    }

    auto end() -> void { m_http.crash(); }

private:
    auto begin() -> void {
        const std::lock_guard lock{m_mutex};
        m_id = "i-" + m_name + "-" + std::to_string(++m_starts);
        m_born = unix_ms();
        m_orders = 0U;
        m_running = 0U;
        m_is_up = true;
        m_is_registered = true;
        write_entry();
    }

    auto write_entry() -> void {
        json::object entry{{"service", m_options.m_service}, {"address", address_of(port())},
                           {"zone", m_options.m_zone},       {"version", "1"},
                           {"slots", m_options.m_slots},     {"state", "ready"},
                           {"cold-remaining-ms", 0},         {"born", m_born},
                           {"sequence", ++m_beats}};
        if (m_options.m_has_model) {
            add_models(entry);
        }
        m_registry.put("servers/" + m_id, json::serialize(entry));
    }

    auto add_models(json::object& to) const -> void {
        json::array models{};
        json::array held{};
        if (m_version != 0U) {
            models.push_back(json::object{{"name", model}, {"version", m_version}, {"adapters", json::array{}}});
            held.push_back(json::object{{"from", 0}, {"to", layers}, {"version", m_version}});
        }
        to["stage"] = "both";
        to["models"] = models;
        to["layers"] = held;
    }

    auto beat() -> void {
        for (;;) {
            sleep_ms(1'200);
            const std::lock_guard lock{m_mutex};
            if (m_is_up && m_is_registered) {
                write_entry();
            }
        }
    }

    auto crash(const std::string& body) -> void {
        std::string id{};
        {
            const std::lock_guard lock{m_mutex};
            if (!m_is_up) {
                return;
            }
            m_is_up = false;
            m_version = 0U;
            id = m_id;
        }
        m_record.write("server %s crashes%s%s", id.c_str(), body.empty() ? "" : " on ", body.c_str());
        {
            const std::lock_guard lock{m_seen.m_mutex};
            m_seen.m_crashes.push_back({m_record.now_s(), {}, id, body, true});
        }
        m_http.crash();
        std::thread{[this, id] {
            sleep_ms(m_entry_ms);
            m_registry.remove("servers/" + id);
        }}.detach();
        std::thread{[this, id] {
            sleep_ms(m_down_ms);
            m_http.open();
            begin();
            m_record.write("server %s is back as %s", id.c_str(), this->id().c_str());
        }}.detach();
    }

    auto answer(stream& on, const message& request) -> bool {
        const auto path = request.path();
        if (path == "/api/report") {
            const std::lock_guard lock{m_mutex};
            json::object out{{"busy", m_is_loading}, {"sequence", m_orders}, {"waiting", 0},
                             {"running", m_running}, {"kv-used", 0},         {"kv-total", 1'180'000},
                             {"handles", 0},         {"pace", 1.0},          {"born", m_born}};
            add_models(out);
            return respond(on, 200, json::serialize(out));
        }
        if (path == "/api/order") {
            return order(on, request);
        }
        if (path.rfind("/api/stage-", 0U) == 0U) {
            return stage(on, request);
        }
        if (path == "/health") {
            return respond(on, 200, "", {{"Rhubarbwharf-Instance", id()}});
        }
        return serve(on, request);
    }

    auto stage(stream& on, const message& request) -> bool {
        const auto text = request.query("chunk-count");
        if (request.method() == "PUT") {
            const std::lock_guard lock{m_mutex};
            m_staged[std::stoull(text)] = request.m_body;
            m_spoilt_at.erase(std::stoull(text));
            return respond(on, 200, "");
        }
        if (text.empty()) {
            const std::lock_guard lock{m_mutex};
            json::array held{};
            for (const auto& [index, bytes] : m_staged) {
                held.emplace_back(index);
            }
            return respond(on, 200, json::serialize(json::object{{"held", held}}));
        }
        sleep_ms(m_stage_read_ms);
        const auto index = std::stoull(text);
        std::optional<std::string> bytes{};
        {
            const std::lock_guard lock{m_mutex};
            if (const auto found = m_staged.find(index); found != m_staged.end()) {
                bytes = found->second;
            }
        }
        const auto kept = bytes ? respond(on, 200, *bytes) : respond(on, 404, "");
        if (m_on_stage_read) {
            m_on_stage_read(index);
        }
        return kept;
    }

    auto order(stream& on, const message& request) -> bool {
        const auto body = json::parse(request.m_body).as_object();
        const auto version = body.at("version").to_number<std::uint64_t>();
        {
            const std::lock_guard lock{m_mutex};
            const auto* const expected = body.if_contains("expected");
            if (m_version == version) {
                return respond(on, 200, "{}");
            }
            if (m_is_loading || (expected != nullptr && expected->to_number<std::uint64_t>() != m_orders)) {
                return respond(on, 409, "{}");
            }
            ++m_orders;
            m_is_loading = true;
            m_holds_spoilt = false;
            for (std::size_t index = 0U; index < pieces; ++index) {
                const auto is_whole = m_staged.count(index) != 0U && m_staged[index] == piece_of(version, index);
                const auto spoilt_at = m_spoilt_at.count(index) != 0U ? m_spoilt_at[index] : 0.0;
                if (!is_whole && m_record.now_s() - spoilt_at > 3.0) {
                    m_holds_spoilt = true;
                    m_record.write("server %s accepts the order of version %llu; piece %zu has been bad for %.2f s",
                                   m_id.c_str(), static_cast<unsigned long long>(version), index,
                                   m_record.now_s() - spoilt_at);
                }
            }
        }
        std::thread{[this, version, boots = m_http.boots()] {
            sleep_ms(300);
            const std::lock_guard lock{m_mutex};
            m_is_loading = false;
            if (m_http.boots() == boots) {
                m_version = version;
            }
        }}.detach();
        return respond(on, 202, "{}");
    }

    // Receipt headers of an answer of this server's own.
    [[nodiscard]] auto own_headers(const message& request) -> std::vector<std::pair<std::string, std::string>> {
        std::vector<std::pair<std::string, std::string>> out{
            {"Rhubarbwharf-Attempt-Id", request.header("Rhubarbwharf-Attempt-Id")},
            {"Rhubarbwharf-Response-Seal", id() + ".0.0"}};
        if (m_options.m_has_model) {
            out.emplace_back("Rhubarbwharf-Weight-Versions", std::to_string(m_version));
        }
        return out;
    }

    auto refuse(stream& on, const message& request, const int status) -> bool {
        return respond(on, status, "{}",
                       {{"Rhubarbwharf-Attempt-Id", request.header("Rhubarbwharf-Attempt-Id")},
                        {"Rhubarbwharf-Not-Executed", "1"},
                        {"At-Server", id()}});
    }

    // Takes a slot for a request. @return Status of the refusal; 0 if it is admitted.
    [[nodiscard]] auto admit(const message& request) -> int {
        const std::lock_guard lock{m_mutex};
        const auto expected_version = request.header("Rhubarbwharf-Expect-Version");
        const auto has_version =
            !m_options.m_has_model ||
            (m_version != 0U && (expected_version.empty() || expected_version == std::to_string(m_version)));
        if (request.header("Rhubarbwharf-Expect-Instance") != m_id || !has_version) {
            return 421;
        }
        if (m_running >= m_options.m_slots) {
            return 503;
        }
        ++m_running;
        return 0;
    }

    auto serve(stream& on, const message& request) -> bool {
        const auto attempt = request.header("Rhubarbwharf-Attempt-Id");
        const auto boots = m_http.boots();
        if (const auto status = admit(request); status != 0) {
            return refuse(on, request, status);
        }
        m_record.write("server %s gets attempt %s, %s %s, body '%s'", id().c_str(), attempt.c_str(),
                       request.method().c_str(), request.target().c_str(), request.m_body.substr(0U, 40U).c_str());
        {
            const std::lock_guard lock{m_seen.m_mutex};
            m_seen.m_arrivals.push_back({m_record.now_s(), attempt, id(), request.m_body, true});
        }
        if (m_options.m_has_model && m_holds_spoilt) {
            ++m_spoilt_streams;
            m_record.write("attempt %s runs on a layer with a bad piece", attempt.c_str());
        }
        const auto kept = m_options.m_has_model ? write_stream(on, request, boots) : write_answer(on, request, boots);
        const std::lock_guard lock{m_mutex};
        if (m_http.boots() == boots && m_running > 0U) {
            --m_running;
        }
        return kept;
    }

    [[nodiscard]] auto crashes_on(const message& request) const -> bool {
        return !m_crash_body.empty() && request.m_body == m_crash_body;
    }

    auto write_answer(stream& on, const message& request, const unsigned boots) -> bool {
        if (crashes_on(request)) {
            sleep_ms(m_crash_delay_ms);
            crash(request.m_body);
            return false;
        }
        sleep_ms(m_options.m_work_ms);
        return m_http.boots() == boots && respond(on, 200, "answer to " + request.m_body, own_headers(request));
    }

    auto write_stream(stream& on, const message& request, const unsigned boots) -> bool {
        const auto last = request.header("Last-Event-Id");
        const auto first = last.empty() ? 1U : static_cast<unsigned>(std::stoul(last)) + 1U;
        std::string head{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"};
        for (const auto& [name, value] : own_headers(request)) {
            head += name + ": " + value + "\r\n";
        }
        sleep_ms(m_options.m_event_gap_ms);
        if (crashes_on(request) && m_crash_after_events == 0U) {
            crash(request.m_body);
            return false;
        }
        if (m_http.boots() != boots || !on.write(head + "\r\n")) {
            return false;
        }
        for (auto event = first; event <= m_options.m_events; ++event) {
            if (event != first) {
                sleep_ms(m_options.m_event_gap_ms);
            }
            if (crashes_on(request) && event - first == m_crash_after_events) {
                crash(request.m_body);
                return false;
            }
            const auto text = "id: " + std::to_string(event) + "\ndata: part " + std::to_string(event) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
            if (m_http.boots() != boots || !on.write(size + text + "\r\n")) {
                return false;
            }
        }
        return on.write("0\r\n\r\n");
    }

    store& m_registry;
    recorder& m_record;
    observations& m_seen;
    server_options m_options{};
    std::string m_name{};
    std::mutex m_mutex{};
    std::string m_id{};
    std::int64_t m_born{};
    unsigned m_starts{};
    std::uint64_t m_beats{};
    std::uint64_t m_orders{};
    std::uint64_t m_version{};
    unsigned m_running{};
    bool m_is_loading{false};
    bool m_is_up{false};
    bool m_is_registered{false};
    std::map<std::size_t, std::string> m_staged{};
    std::map<std::size_t, double> m_spoilt_at{};
    std::atomic<bool> m_holds_spoilt{false};
    std::atomic<unsigned> m_spoilt_streams{};
    http_server m_http;
};

// Routes `/stream/` (a resumable stream of a model), `/book/` (may run once at most) and `/look/` (may be repeated).
struct configuration_options {
    // Whether the route `/new/`, which leads to the same servers as `/look/`, is there.
    bool m_has_new_route{false};
    // Whether the organisation `org-b` holds the key `key-b`.
    bool m_has_key_b{true};
    int m_book_timeout_ms{1'000};
};

inline auto configuration(const std::uint64_t version, const std::uint16_t origin_port,
                          const configuration_options& options = {}) -> std::string {
    const auto route = [](const char* const prefix, const char* const kind, const char* const service,
                          const int timeout_ms, const int target_ms, const int attempts) {
        const auto is_stream = std::string_view{kind} == "streaming";
        return json::object{{"name", std::string{"r-"} + service + kind},
                            {"hostname", host},
                            {"prefix", prefix},
                            {"kind", kind},
                            {"timeout-ms", timeout_ms},
                            {"target-latency-ms", target_ms},
                            {"priority", is_stream ? 1 : 2},
                            {"service", service},
                            {"max-attempts", attempts},
                            {"public", false},
                            {"sticky", is_stream},
                            {"resumable", is_stream},
                            {"gap-aim-ms", 400}};
    };
    const json::object engine{{"slots", 16},
                              {"kv-tokens", 1'180'000},
                              {"kv-bytes", 163'840},
                              {"link-mbps", 400'000.0},
                              {"stride", 5},
                              {"models", json::array{json::object{{"name", model}, {"pace", 1.0}, {"warm-s", 0.3}}}},
                              {"mb", 266'000.0},
                              {"step_ms", 8.87},
                              {"per_seq_ms", 0.0388},
                              {"context_per_k", 0.0227},
                              {"read_per_s", 19'100.0},
                              {"pairs_per_m", 1.47},
                              {"chunk", 2'048},
                              {"report_lag_ms", 200.0},
                              {"usual", json::object{{"prompt", 977}, {"answer", 94}}},
                              {"layers", layers},
                              {"layer_mb", 4'540.0},
                              {"act_bytes", 16'384},
                              {"chunks", pieces},
                              {"chunk-bytes", piece_bytes}};
    json::array routes{route("/stream/", "streaming", "llm", 6'000, 500, 2),
                       route("/book/", "non_idempotent", "ledger", options.m_book_timeout_ms, 100, 1),
                       route("/look/", "idempotent", "ledger", 1'000, 100, 2)};
    if (options.m_has_new_route) {
        routes.push_back(route("/new/", "idempotent", "ledger", 1'000, 100, 2));
    }
    json::array keys_b{};
    if (options.m_has_key_b) {
        keys_b.emplace_back("key-b");
    }
    const json::object out{
        {"version", version},
        {"routes", routes},
        {"services",
         json::array{
             json::object{{"name", "llm"}, {"health-path", "/health"}, {"max-connections", 374}, {"engine", engine}},
             json::object{{"name", "ledger"}, {"health-path", "/health"}, {"max-connections", 110}},
             json::object{{"name", "weights"}, {"origin", address_of(origin_port)}, {"max-connections", 48}}}},
        {"limits", json::object{{"max-header-bytes", 16'384},
                                {"max-body-bytes", 4'194'304},
                                {"header-timeout-ms", 5'000},
                                {"idle-timeout-ms", 15'000}}},
        {"tenants", json::array{json::object{{"name", "org-a"}, {"api-keys", json::array{"key-a"}}},
                                json::object{{"name", "org-b"}, {"api-keys", keys_b}}}}};
    return json::serialize(out);
}

// Text of a request. @param extra Further headers, each with its line end.
inline auto request_text(const std::string& method, const std::string& target, const std::string& attempt,
                         const std::string& body, const int deadline_ms, const std::string& extra = {},
                         const std::string& key = "key-a") -> std::string {
    return method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRhubarbwharf-Attempt-Id: " + attempt +
           "\r\nRhubarbwharf-Deadline-Ms: " + std::to_string(deadline_ms) + "\r\nAuthorization: Bearer " + key +
           "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Headers of a request to the model. @param own Id of the part of the prompt that belongs to the request.
inline auto prompt_headers(const std::string& shared, const std::string& own) -> std::string {
    return std::string{"Rhubarbwharf-Model: "} + model +
           "\r\nRhubarbwharf-Token-Count: 800,60\r\nRhubarbwharf-Prompt-Prefix: " + shared + ":40," + own + ":760\r\n";
}

// Starts gateways and waits until all are ready.
inline auto start_gateways(std::vector<gateway>& gateways, const folder& files, const std::uint16_t store_port)
    -> bool {
    for (std::size_t index = 0U; index < gateways.size(); ++index) {
        gateways[index].m_name = "edge-" + gateways[index].m_region + "-a-" + std::to_string(index + 1U);
    }
    for (auto& each : gateways) {
        const auto settings = files.file(each.m_name + ".json");
        write_gateway_settings(settings, each, gateways, store_port);
        each.m_process = std::make_unique<process>(settings, files.file(each.m_name + ".log"));
    }
    return wait_until(15'000, [&] {
        return std::all_of(gateways.begin(), gateways.end(), [](const auto& each) { return each.is_ready(); });
    });
}

} // namespace review
