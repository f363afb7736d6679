#include "site.hpp"

#include <algorithm>

#include <boost/json/serialize.hpp>

#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::standin_site {

namespace internal {

namespace {

[[nodiscard]] auto make_route(const std::string& name, const std::string_view path, const std::string_view kind,
                              const std::string_view service, const unsigned timeout_ms) -> boost::json::object {
    return {{"name", name},
            {"hostname", host_name},
            {"prefix", path},
            {"kind", kind},
            {"service", service},
            {"priority", 1},
            {"timeout-ms", timeout_ms},
            {"target-latency-ms", 400},
            {"max-attempts", 2},
            {"public", false},
            {"gap-aim-ms", 400},
            {"sticky", false},
            {"resumable", kind == "streaming"}};
}

[[nodiscard]] auto to_json(const std::vector<std::string>& names) -> boost::json::array {
    boost::json::array out{};
    for (const auto& each : names) {
        out.emplace_back(each);
    }
    return out;
}

[[nodiscard]] auto make_organisations(site_observations& observations, const std::vector<std::string>& first_regions)
    -> boost::json::array {
    boost::json::array out{};
    for (const auto* const name : {"a", "b", "c"}) {
        const auto key = std::string{"key-of-"} + name;
        observations.m_api_keys.insert(key);
        out.push_back(
            boost::json::object{{"name", std::string{"org-"} + name},
                                {"api-keys", boost::json::array{key}},
                                {"allowed-regions", out.empty() ? to_json(first_regions) : boost::json::array{}}});
    }
    return out;
}

} // namespace

} // namespace internal

auto data_centre_name(const std::size_t index, const std::size_t region_count) -> std::string {
    return "dc-" + std::to_string(index % region_count + 1U);
}

auto region_name(const std::size_t index, const std::size_t region_count) -> std::string {
    return "region-" + std::to_string(index % region_count + 1U);
}

site::site(const site_options options) : m_options{options} {
    m_store = std::make_unique<store>(m_loop);
    m_store_address = m_store->listen();
    m_origin = std::make_unique<net::http_server>(
        m_loop, net::http_limits{},
        [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
            on_origin(request, responder);
        });
    ensure(m_store_address.m_port != 0U && m_origin->listen({"127.0.0.1", 0U}) == code::ok,
           "the store and the origin of a stand-in site listen");
    for (std::size_t index = 0U; index < m_options.m_runner_count + m_options.m_ledger_count; ++index) {
        m_servers.push_back(make_server(index, false));
    }
    write_configuration({});
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

site::~site() {
    m_loop.stop();
    m_thread.join();
}

auto site::run_in_loop(const std::function<void(site&)>& task) -> void {
    std::promise<void> done{};
    m_loop.post([&] {
        task(*this);
        done.set_value();
    });
    done.get_future().wait();
}

auto site::make_server(const std::size_t index, const bool is_restart) -> std::unique_ptr<server> {
    server_options new_options{};
    new_options.m_id = "server-" + std::to_string(index) + "-" + std::to_string(m_incarnation_count++);
    new_options.m_data_centre = data_centre_name(index, m_options.m_region_count);
    new_options.m_split_output = m_options.m_split_output;
    new_options.m_service = index < m_options.m_runner_count ? "llm" : "book";
    if (index < m_options.m_runner_count) {
        new_options.m_model = model_name;
        new_options.m_version = is_restart ? 0U : m_weights_version;
        new_options.m_piece_count = m_options.m_piece_count;
        new_options.m_cold_time = is_restart && m_runners_start_cold ? cold_time : duration{};
    }
    const auto port = is_restart ? m_servers[index]->address().m_port : std::uint16_t{};
    auto out = std::make_unique<server>(m_loop, *m_store, m_observations, new_options);
    if (is_restart) {
        m_servers[index].reset();
    }
    ensure(out->start(port), "a backend server of a stand-in site listens");
    return out;
}

auto site::restart_server(const std::size_t index) -> void {
    m_servers[index]->unregister();
    m_servers[index] = make_server(index, true);
}

auto site::write_configuration(const configuration_options& options) -> std::uint64_t {
    const auto timeout_ms = options.m_timeout_ms;
    m_runners_start_cold = options.m_cold_per_s > 0.0;
    ++m_configuration_version;
    boost::json::array routes{internal::make_route("model", model_path, "streaming", "llm", timeout_ms),
                              internal::make_route("ledger", ledger_path, "non_idempotent", "book", timeout_ms),
                              internal::make_route("lookup", lookup_path, "idempotent", "book", timeout_ms)};
    routes.front().as_object()["allowed-regions"] = internal::to_json(options.m_model_regions);
    for (unsigned index = 0U; index < options.m_extra_routes; ++index) {
        routes.push_back(
            internal::make_route("extra", "/extra/" + std::to_string(index) + "/", "idempotent", "book", timeout_ms));
    }
    const auto version_path = "/version/" + std::to_string(m_configuration_version) + "/";
    routes.push_back(internal::make_route("version", version_path, "idempotent", "book", timeout_ms));
    const boost::json::object engine{{"slots", 4},
                                     {"stride", 1},
                                     {"step_ms", 5.0},
                                     {"per_seq_ms", 0.1},
                                     {"layers", 4},
                                     {"read_per_s", 1e6},
                                     {"chunk-bytes", 512},
                                     {"chunks", m_options.m_piece_count},
                                     {"models", boost::json::array{boost::json::object{{"name", model_name}}}}};
    const auto origin =
        options.m_origin_address.empty() ? "127.0.0.1:" + std::to_string(m_origin->port()) : options.m_origin_address;
    const boost::json::array services{boost::json::object{{"name", "llm"},
                                                          {"max-connections", 200},
                                                          {"cold-s", std::chrono::duration<double>{cold_time}.count()},
                                                          {"cold-per-s", options.m_cold_per_s},
                                                          {"engine", engine}},
                                      boost::json::object{{"name", "book"}, {"max-connections", 200}},
                                      boost::json::object{{"name", "weights"}, {"origin", origin}}};
    const boost::json::object limits{{"max-header-bytes", 16'384},
                                     {"max-body-bytes", options.m_max_body_bytes},
                                     {"header-timeout-ms", 3'000},
                                     {"idle-timeout-ms", options.m_idle_timeout_ms}};
    m_store->put("op/config",
                 boost::json::serialize(boost::json::object{
                     {"version", m_configuration_version},
                     {"routes", routes},
                     {"services", services},
                     {"limits", limits},
                     {"tenants", internal::make_organisations(m_observations, options.m_organisation_regions)}}));
    return m_configuration_version;
}

auto site::set_weights_version(const std::uint64_t version) -> void {
    m_weights_version = version;
    m_store->put("op/version/" + std::string{model_name},
                 boost::json::serialize(boost::json::object{{"model", model_name}, {"version", version}}));
}

auto site::set_evacuated(const std::string& data_centre, const bool is_evacuated) -> void {
    const auto key = std::string{adapter::key::evacuations} + data_centre;
    if (is_evacuated) {
        m_store->put(key, "{}");
    } else {
        m_store->remove(key);
    }
}

auto site::send_endless(const std::shared_ptr<net::responder>& responder, const std::shared_ptr<bool>& left,
                        const std::size_t sent_bytes) -> void {
    constexpr std::size_t part_bytes = std::size_t{256} * 1024U;
    constexpr std::size_t most_sent_bytes = std::size_t{128} * 1024U * 1024U;
    const auto room = responder->pending() < part_bytes && sent_bytes < most_sent_bytes;
    if (room) {
        responder->write(std::string(part_bytes, 'x'));
    }
    const auto now_sent = sent_bytes + (room ? part_bytes : 0U);
    m_most_endless_bytes = std::max(m_most_endless_bytes, now_sent - std::min(now_sent, responder->pending()));
    m_loop.after(std::chrono::milliseconds{1}, [this, responder, left, now_sent] {
        if (m_origin_faults.m_endless && !*left) {
            send_endless(responder, left, now_sent);
        }
    });
}

auto site::on_origin(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
    const auto version = std::strtoull(adapter::query_value(request.m_target, "version").c_str(), nullptr, 10);
    if (version > m_origin_faults.m_newest_version) {
        responder->respond(json_response(503U, {}));
        return;
    }
    if (m_origin_faults.m_endless) {
        responder->start({200U, {}, {}});
        auto left = std::make_shared<bool>(false);
        responder->on_close([left](net::close_reason) { *left = true; });
        send_endless(responder, left, 0U);
        return;
    }
    if (request.m_target.starts_with("/api/manifest/")) {
        boost::json::array digests{};
        for (std::size_t piece = 0U; piece < m_options.m_piece_count; ++piece) {
            digests.emplace_back(to_hex(sha256(piece_bytes(version, piece))));
        }
        responder->respond(json_response(200U, {{"model", model_name}, {"version", version}, {"digests", digests}}));
        return;
    }
    const auto piece = std::strtoull(adapter::query_value(request.m_target, "chunk-count").c_str(), nullptr, 10);
    m_loop.after(m_origin_faults.m_piece_delay, [responder, version, piece] {
        responder->respond({200U, {}, piece_bytes(version, piece)});
    });
}

} // namespace rhubarbwharf::standin_site
