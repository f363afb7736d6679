#include "runner.hpp"

#include <algorithm>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::standin_site {

namespace internal {

constexpr std::uint16_t ok = 200U;
constexpr std::uint16_t accepted = 202U;
constexpr std::uint16_t not_found = 404U;
constexpr std::uint16_t conflict = 409U;
constexpr std::uint16_t misdirected = 421U;
constexpr std::uint16_t unavailable = 503U;
constexpr std::size_t piece_size_bytes = 512U;
constexpr duration load_duration = std::chrono::milliseconds{60};

namespace {

[[nodiscard]] auto header_value(const net::http_request& request, const std::string_view name) -> std::string {
    return std::string{net::find(request.m_headers, name)};
}

[[nodiscard]] auto not_executed_response(const std::uint16_t status) -> net::http_response {
    return {status, {{std::string{adapter::field::not_executed}, "1"}}, {}};
}

} // namespace

} // namespace internal

auto piece_bytes(const std::uint64_t version, const std::size_t piece) -> std::string {
    auto out = "version " + std::to_string(version) + " piece " + std::to_string(piece) + ' ';
    out.resize(internal::piece_size_bytes, static_cast<char>('a' + piece % 26U));
    return out;
}

auto plain_server_body(const std::string_view attempt) -> std::string {
    return "done:" + std::string{attempt} + ':' + std::string(200U, 'z');
}

auto event_text(const std::string_view content, const unsigned index) -> std::string {
    return "id: " + std::to_string(index) + "\ndata: " + std::string{content} + '-' + std::to_string(index) + "\n\n";
}

/*! @brief Streamed response in progress. */
struct server::stream {
    responder_ptr m_responder{};
    std::string m_request_body{};
    unsigned m_next_event{1};
    unsigned m_sent_events{};
    /*! @brief Event in the middle of which the connection is closed; beyond the last event for an intact stream. */
    unsigned m_cut_event{};
    prompt_event m_prompt{};
    /*! @brief Status and headers, which are sent with the first event. */
    net::http_response m_head{};
    bool m_started{false};
    bool m_disconnected{false};
};

server::server(net::loop& owner, store& registry, site_observations& observations, server_options options)
    : m_loop{owner}, m_store{registry}, m_observations{observations}, m_options{std::move(options)} {}

server::~server() {
    set_limit(0.0);
    *m_alive = false;
}

auto server::start(const std::uint16_t port) -> bool {
    m_start_time_us = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    m_server = std::make_unique<net::http_server>(
        m_loop, net::http_limits{},
        [this](const net::http_request& request, const responder_ptr& responder) { on_request(request, responder); });
    if (m_server->listen({"127.0.0.1", port}) != code::ok) {
        return false;
    }
    m_port = m_server->port();
    for (std::size_t piece = 0U; m_options.m_version != 0U && piece < m_options.m_piece_count; ++piece) {
        m_staged_pieces[piece] = piece_bytes(m_options.m_version, piece);
    }
    m_cold_until = steady_now() + m_options.m_cold_time;
    publish_entry();
    return true;
}

auto server::address() const -> net::endpoint {
    return {"127.0.0.1", m_port};
}

auto server::drain() -> void {
    m_draining = true;
    m_draining_since = steady_now();
    publish_entry();
}

auto server::turn_cold(const duration length) -> void {
    m_cold_until = steady_now() + length;
    publish_entry();
}

auto server::unregister() -> void {
    m_store.remove("servers/" + m_options.m_id);
}

auto server::pause(const duration length) -> void {
    m_paused_until = std::max<time_point>(m_paused_until, steady_now() + length);
}

auto server::announce_leaving() -> void {
    m_leaving_since = steady_now();
}

auto server::respond(const responder_ptr& responder, net::http_response response) const -> void {
    add_server_headers(response);
    responder->respond(std::move(response));
}

auto server::add_server_headers(net::http_response& response) const -> void {
    if (m_leaving_since != time_point{}) {
        response.m_headers.push_back({std::string{adapter::field::leaving}, "1"});
    }
    if (m_limit) {
        m_limit->m_named_at = std::min(m_limit->m_named_at, steady_now());
        response.m_headers.push_back({std::string{adapter::field::server_limit}, std::to_string(m_limit->m_per_s)});
    }
}

auto server::refuse(const responder_ptr& responder) -> void {
    auto response = internal::not_executed_response(internal::unavailable);
    if (m_faults.m_retry_after > duration::zero()) {
        const auto seconds = std::chrono::duration<double>{m_faults.m_retry_after}.count();
        response.m_headers.push_back({std::string{adapter::field::retry_after}, std::to_string(seconds)});
        m_pause_requested_at = steady_now();
        m_pause_requested_until = m_pause_requested_at + m_faults.m_retry_after;
    }
    respond(responder, std::move(response));
}

auto server::run_after(const duration delay, std::function<void()> task) -> void {
    m_loop.after(delay, [this, alive = m_alive, task = std::move(task)] {
        const auto now = steady_now();
        if (*alive && now < m_paused_until) {
            run_after(m_paused_until - now, task);
        } else {
            task();
        }
    });
}

auto server::make_entry() const -> boost::json::object {
    const auto cold = std::max(duration::zero(), m_cold_until - steady_now());
    const auto cold_ms = std::chrono::duration_cast<std::chrono::milliseconds>(cold).count();
    boost::json::object out{{"service", m_options.m_service},  {"address", net::to_string(address())},
                            {"zone", m_options.m_data_centre}, {"version", "v1"},
                            {"slots", m_options.m_slot_count}, {"state", m_draining ? "draining" : "ready"},
                            {"cold-remaining-ms", cold_ms},    {"born", m_start_time_us},
                            {"sequence", m_accepted_orders}};
    if (!m_options.m_model.empty()) {
        boost::json::array models{};
        if (m_options.m_version != 0U) {
            models.push_back(boost::json::object{{"name", m_options.m_model}, {"version", m_options.m_version}});
            out["layers"] =
                boost::json::object{{"from", 0}, {"to", m_options.m_layer_count}, {"version", m_options.m_version}};
        }
        out["models"] = models;
    }
    return out;
}

auto server::publish_entry() -> void {
    if (m_server != nullptr) {
        m_store.put("servers/" + m_options.m_id, boost::json::serialize(make_entry()));
    }
}

auto server::on_control(const net::http_request& request, const responder_ptr& responder) -> bool {
    const std::string_view target{request.m_target};
    if (target.starts_with("/api/report") && !m_faults.m_report_retry_after.empty()) {
        ++m_observations.m_refused_reports;
        respond(
            responder,
            {internal::unavailable, {{std::string{adapter::field::retry_after}, m_faults.m_report_retry_after}}, {}});
    } else if (target.starts_with("/api/report")) {
        auto body = make_entry();
        body["busy"] = m_loading;
        body["waiting"] = 0;
        body["running"] = m_running_requests;
        body["pace"] = 1.0;
        respond(responder, json_response(internal::ok, body));
    } else if (target.starts_with("/api/order")) {
        on_load_order(request, responder);
    } else if (target.starts_with("/api/stage-")) {
        on_stage(request, responder);
    } else {
        return false;
    }
    return true;
}

auto server::on_load_order(const net::http_request& request, const responder_ptr& responder) -> void {
    if (m_faults.m_order_delay == duration::zero()) {
        handle_load_order(request, responder);
        return;
    }
    run_after(m_faults.m_order_delay, [this, alive = m_alive, request, responder] {
        if (*alive) {
            handle_load_order(request, responder);
        }
    });
}

auto server::handle_load_order(const net::http_request& request, const responder_ptr& responder) -> void {
    ++m_observations.m_handled_orders;
    const auto order = boost::json::parse(request.m_body).as_object();
    if (order.at("expected").to_number<std::uint64_t>() != m_accepted_orders || m_loading) {
        respond(responder, {internal::conflict, {}, {}});
        return;
    }
    const auto version = order.at("version").to_number<std::uint64_t>();
    if (order.contains("to")) {
        // Layers that are no complete version answer no request, whatever they were loaded from.
        give_up_version();
        respond(responder, {internal::accepted, {}, {}});
        return;
    }
    for (std::size_t piece = 0U; piece < m_options.m_piece_count; ++piece) {
        if (m_staged_pieces[piece] != piece_bytes(version, piece)) {
            m_observations.m_violations.add("load order received while the staged weights have a wrong piece " +
                                            std::to_string(piece));
        }
    }
    ++m_accepted_orders;
    m_loading = true;
    respond(responder, {internal::accepted, {}, {}});
    m_loop.after(internal::load_duration, [this, alive = m_alive, version] {
        if (*alive) {
            m_loading = false;
            m_options.m_version = version;
            publish_entry();
        }
    });
}

auto server::give_up_version() -> void {
    ++m_accepted_orders;
    m_options.m_version = 0U;
    publish_entry();
}

auto server::on_stage(const net::http_request& request, const responder_ptr& responder) -> void {
    const auto text = adapter::query_value(request.m_target, "chunk-count");
    if (text.empty()) {
        boost::json::array held{};
        for (const auto& [piece, bytes] : m_staged_pieces) {
            held.push_back(static_cast<std::int64_t>(piece));
        }
        respond(responder, json_response(internal::ok, {{"held", held}}));
        return;
    }
    const auto piece = static_cast<std::size_t>(std::strtoull(text.c_str(), nullptr, 10));
    if (request.m_method == "PUT") {
        m_staged_pieces[piece] = request.m_body;
        respond(responder, {internal::ok, {}, {}});
    } else if (m_faults.m_unanswered_reads > 0U) {
        --m_faults.m_unanswered_reads;
        m_unanswered.push_back(responder);
    } else if (const auto found = m_staged_pieces.find(piece); found != m_staged_pieces.end()) {
        respond(responder, {internal::ok, {}, found->second});
    } else {
        respond(responder, {internal::not_found, {}, {}});
    }
}

auto server::check_request(const net::http_request& request, const time_point arrived_at) -> void {
    const auto attempt = internal::header_value(request, adapter::field::attempt);
    for (const auto& each : request.m_headers) {
        if (m_observations.m_api_keys.contains(each.m_value) || each.m_name == "Authorization") {
            m_observations.m_violations.add("an API key was passed on with attempt " + attempt);
        }
    }
    if (internal::header_value(request, adapter::field::organisation) != "org-" + attempt.substr(0U, 1U)) {
        m_observations.m_violations.add("the organisation header of attempt " + attempt + " is wrong");
    }
    if (internal::header_value(request, adapter::field::deadline).empty()) {
        m_observations.m_violations.add("no deadline was passed on with attempt " + attempt);
    }
    constexpr duration max_propagation_time = std::chrono::seconds{4};
    const auto draining_known_since = std::max(m_draining_since, m_observations.m_store_reachable_since);
    if (m_draining && draining_known_since != time_point::max() &&
        arrived_at - draining_known_since > max_propagation_time) {
        m_observations.m_violations.add(attempt +
                                        " reached a server more than 4 s after every daemon could know that it leaves");
    }
}

auto server::on_request(const net::http_request& request, const responder_ptr& responder) -> void {
    const auto attempt = internal::header_value(request, adapter::field::attempt);
    if (attempt.empty()) {
        handle_request(request, responder, steady_now());
        return;
    }
    auto stay = std::make_shared<arrival>();
    stay->m_server = m_options.m_id;
    stay->m_at_runner = !m_options.m_model.empty();
    stay->m_arrived_at = steady_now();
    auto& stays = m_observations.m_stays[attempt];
    stays.push_back(stay);
    if (auto prompt = make_prompt_event(request, stays.size() == 1U); !prompt.m_parts.empty()) {
        m_observations.m_prompts.m_arrivals.push_back(std::move(prompt));
    }
    handle_request(request, record_stay(responder, stay, m_alive, attempt), stay->m_arrived_at);
}

auto server::handle_request(const net::http_request& request, const responder_ptr& responder,
                            const time_point arrived_at) -> void {
    if (steady_now() < m_paused_until) {
        run_after(duration::zero(), [this, alive = m_alive, request, responder, arrived_at] {
            if (*alive) {
                handle_request(request, responder, arrived_at);
            }
        });
        return;
    }
    if (on_control(request, responder)) {
        return;
    }
    ++m_request_count;
    ++m_observations.m_arrivals[m_options.m_id];
    m_observations.m_arrival_times[m_options.m_id].push_back(steady_now());
    const auto now = steady_now();
    constexpr duration pause_notice = std::chrono::milliseconds{500};
    if (now > m_pause_requested_at + pause_notice && now < m_pause_requested_until) {
        ++m_observations.m_arrivals_in_pause;
    }
    if (m_limit) {
        m_limit->m_arrivals.push_back(now);
    }
    m_observations.m_last_arrival_when_leaving =
        m_leaving_since == time_point{} ? m_observations.m_last_arrival_when_leaving : now;
    const auto is_nth_request = [this](const unsigned n) {
        return n != 0U && m_request_count % n == 0U;
    };
    if (internal::header_value(request, adapter::field::expect_server) != m_options.m_id) {
        respond(responder, internal::not_executed_response(internal::misdirected));
        return;
    }
    const auto expected_version = internal::header_value(request, adapter::field::expect_version);
    const auto is_loaded = m_options.m_model.empty() || m_options.m_version != 0U;
    if (!is_loaded || (!expected_version.empty() && expected_version != std::to_string(m_options.m_version))) {
        respond(responder, internal::not_executed_response(internal::misdirected));
        return;
    }
    if (is_nth_request(m_faults.m_refuse_every) || m_running_requests >= m_options.m_slot_count * 4U || m_loading) {
        refuse(responder);
        return;
    }
    if (m_faults.m_unresponsive) {
        m_unanswered.push_back(responder);
        return;
    }
    check_request(request, arrived_at);
    ++m_observations.m_executions[internal::header_value(request, adapter::field::attempt)];
    const auto& crash_body = m_observations.m_crash_faults.m_crash_body;
    const auto crashes_at_once = m_observations.m_crash_faults.m_crash_after_events == 0U;
    if (crashes_at_once && !crash_body.empty() && request.m_body == crash_body) {
        m_unanswered.push_back(responder);
        run_after(duration::zero(), [this, alive = m_alive, crash_body] {
            if (*alive) {
                crash(crash_body);
            }
        });
        return;
    }
    if (is_nth_request(m_faults.m_lose_reply_every)) {
        responder->abort();
        return;
    }
    execute(request, responder);
}

auto server::execute(const net::http_request& request, const responder_ptr& responder) -> void {
    if (!m_options.m_model.empty()) {
        execute_stream(request, responder);
        return;
    }
    const auto attempt = internal::header_value(request, adapter::field::attempt);
    ++m_running_requests;
    run_after(delay_before(1U), [this, alive = m_alive, attempt, responder] {
        if (*alive) {
            --m_running_requests;
            send_plain_response(attempt, responder);
        }
    });
}

auto server::send_plain_response(const std::string& attempt, const responder_ptr& responder) -> void {
    net::http_response response{
        internal::ok,
        {{std::string{adapter::field::attempt}, attempt}, {std::string{adapter::field::signature}, "seal-" + attempt}},
        plain_server_body(attempt)};
    if (!m_options.m_split_output || m_request_count % 2U == 0U) {
        respond(responder, std::move(response));
        return;
    }
    const auto body = std::exchange(response.m_body, {});
    const auto first_size = body.size() / 2U;
    add_server_headers(response);
    responder->start(std::move(response));
    responder->write(std::string_view{body}.substr(0U, first_size));
    run_after(m_options.m_step_duration, [alive = m_alive, responder, rest = body.substr(first_size)] {
        if (*alive) {
            responder->write(rest);
            responder->finish();
        } else {
            responder->abort();
        }
    });
}

auto server::execute_stream(const net::http_request& request, const responder_ptr& responder) -> void {
    const auto attempt = internal::header_value(request, adapter::field::attempt);
    auto output = std::make_shared<stream>();
    output->m_responder = responder;
    output->m_request_body = request.m_body;
    output->m_prompt = make_prompt_event(request, m_observations.m_stays[attempt].size() == 1U);
    output->m_head = {internal::ok,
                      {{"Content-Type", "text/event-stream"},
                       {std::string{adapter::field::attempt}, attempt},
                       {std::string{adapter::field::version}, std::to_string(m_options.m_version)},
                       {std::string{adapter::field::signature}, "seal-" + attempt}},
                      {}};
    const auto last_event = internal::header_value(request, adapter::field::last_event);
    if (!last_event.empty() && m_faults.m_resume_status != 0U) {
        respond(responder, {m_faults.m_resume_status, output->m_head.m_headers, "not resumed"});
        return;
    }
    if (!last_event.empty() && m_faults.m_resume_empty) {
        responder->start(output->m_head);
        responder->finish();
        return;
    }
    output->m_next_event = last_event.empty() ? 1U : static_cast<unsigned>(std::stoul(last_event)) + 1U;
    output->m_cut_event = m_faults.m_cut_every != 0U && m_request_count % m_faults.m_cut_every == 0U
                              ? output->m_next_event + 3U
                              : events_per_stream + 1U;
    responder->on_close([output](net::close_reason) { output->m_disconnected = true; });
    ++m_running_requests;
    m_observations.m_last_begin[m_options.m_version] = steady_now();
    record_version(attempt, !last_event.empty());
    schedule_event(output);
}

auto server::record_version(const std::string& attempt, const bool is_resumed) -> void {
    if (std::ranges::any_of(m_observations.m_stays[attempt], [&](const auto& each) {
            return each->m_server == m_options.m_id && each->m_end == stay_end::held;
        })) {
        m_observations.m_version_begins.push_back(
            {steady_now(), attempt, m_options.m_id, m_options.m_version, is_resumed});
    }
}

auto server::schedule_event(const std::shared_ptr<stream>& output) -> void {
    run_after(delay_before(output->m_next_event), [this, alive = m_alive, output] {
        if (*alive) {
            send_event(output);
        } else {
            output->m_responder->abort();
        }
    });
}

auto server::delay_before(const unsigned event) const -> duration {
    return event == m_faults.m_pause_event ? m_faults.m_pause : m_options.m_step_duration;
}

auto server::send_event(const std::shared_ptr<stream>& output) -> void {
    if (output->m_disconnected) {
        --m_running_requests;
        return;
    }
    if (!output->m_started && !begin_answer(output->m_prompt)) {
        return;
    }
    if (!std::exchange(output->m_started, true)) {
        add_server_headers(output->m_head);
        output->m_responder->start(output->m_head);
    }
    const auto text = event_text(output->m_request_body, output->m_next_event);
    if (output->m_next_event == output->m_cut_event) {
        output->m_responder->write(std::string_view{text}.substr(0U, text.size() / 2U));
        output->m_responder->abort();
        --m_running_requests;
        return;
    }
    if (!m_options.m_split_output) {
        output->m_responder->write(text);
        finish_event(output);
        return;
    }
    const auto first_size = text.size() / 2U;
    output->m_responder->write(std::string_view{text}.substr(0U, first_size));
    run_after(m_options.m_step_duration / 2, [this, alive = m_alive, output, rest = text.substr(first_size)] {
        if (*alive) {
            output->m_responder->write(rest);
            finish_event(output);
        } else {
            output->m_responder->abort();
        }
    });
}

auto server::finish_event(const std::shared_ptr<stream>& output) -> void {
    if (crash_after_events(output->m_request_body, ++output->m_sent_events)) {
        return;
    }
    if (output->m_next_event++ == events_per_stream) {
        output->m_responder->finish();
        --m_running_requests;
        return;
    }
    schedule_event(output);
}

} // namespace rhubarbwharf::standin_site
