#include "runner.hpp"

#include <algorithm>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <platform/decode.hpp>
#include <platform/names.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::standin_site {

namespace internal {

constexpr std::uint16_t ok = 200U;
constexpr std::uint16_t accepted = 202U;
constexpr std::uint16_t missing = 404U;
constexpr std::uint16_t conflict = 409U;
constexpr std::uint16_t misdirected = 421U;
constexpr std::uint16_t unavailable = 503U;
constexpr std::size_t piece_size = 512U;
constexpr duration load_time = std::chrono::milliseconds{60};

namespace {

[[nodiscard]] auto field(const net::http_request& request, const std::string_view name) -> std::string {
    return std::string{net::find(request.m_headers, name)};
}

[[nodiscard]] auto not_executed(const std::uint16_t status) -> net::http_response {
    return {status, {{std::string{adapter::field::not_executed}, "1"}}, {}};
}

} // namespace

} // namespace internal

auto piece_bytes(const std::uint64_t version, const std::size_t piece) -> std::string {
    auto out = "version " + std::to_string(version) + " piece " + std::to_string(piece) + ' ';
    out.resize(internal::piece_size, static_cast<char>('a' + piece % 26U));
    return out;
}

auto plain_body(const std::string_view attempt) -> std::string {
    return "done:" + std::string{attempt} + ':' + std::string(200U, 'z');
}

auto event_text(const std::string_view attempt, const unsigned index) -> std::string {
    return "id: " + std::to_string(index) + "\ndata: " + std::string{attempt} + '-' + std::to_string(index) + "\n\n";
}

/*! @brief A stream that is being written. */
struct server::stream {
    answer m_to{};
    std::string m_content{};
    unsigned m_next{1};
    unsigned m_cut_at{};
    bool m_left{false};
};

server::server(net::loop& owner, store& registry, ledger_book& book, server_options options)
    : m_loop{owner}, m_registry{registry}, m_book{book}, m_options{std::move(options)} {}

server::~server() {
    *m_alive = false;
}

auto server::start(const std::uint16_t port) -> bool {
    m_started = static_cast<std::uint64_t>(wall_now().time_since_epoch().count());
    m_server = std::make_unique<net::http_server>(
        m_loop, net::http_limits{},
        [this](const net::http_request& request, const answer& to) { on_request(request, to); });
    if (m_server->listen({"127.0.0.1", port}) != code::ok) {
        return false;
    }
    for (std::size_t piece = 0U; m_options.m_version != 0U && piece < m_options.m_pieces; ++piece) {
        m_staged[piece] = piece_bytes(m_options.m_version, piece);
    }
    write_entry();
    return true;
}

auto server::address() const -> net::endpoint {
    return {"127.0.0.1", m_server->port()};
}

auto server::drain() -> void {
    m_draining = true;
    m_drained_at = steady_now();
    write_entry();
}

auto server::unregister() -> void {
    m_registry.remove("servers/" + m_options.m_id);
}

auto server::set_faults(const server_faults& faults) -> void {
    m_faults = faults;
    if (!faults.m_hangs) {
        for (const auto& each : std::exchange(m_unanswered, {})) {
            each->abort();
        }
    }
}

auto server::entry() const -> boost::json::object {
    boost::json::object out{{"service", m_options.m_service},
                            {"address", net::to_string(address())},
                            {"zone", m_options.m_data_centre},
                            {"version", "v1"},
                            {"slots", m_options.m_slots},
                            {"state", m_draining ? "draining" : "ready"},
                            {"cold-remaining-ms", 0},
                            {"born", m_started},
                            {"sequence", m_orders}};
    if (!m_options.m_model.empty()) {
        boost::json::array models{};
        if (m_options.m_version != 0U) {
            models.push_back(boost::json::object{{"name", m_options.m_model}, {"version", m_options.m_version}});
            out["layers"] =
                boost::json::object{{"from", 0}, {"to", m_options.m_layers}, {"version", m_options.m_version}};
        }
        out["models"] = models;
    }
    return out;
}

auto server::write_entry() -> void {
    m_registry.put("servers/" + m_options.m_id, boost::json::serialize(entry()));
}

auto server::on_control(const net::http_request& request, const answer& to) -> bool {
    const std::string_view target{request.m_target};
    if (target.starts_with("/api/report")) {
        auto body = entry();
        body["busy"] = m_busy;
        body["waiting"] = 0;
        body["running"] = m_running;
        body["pace"] = 1.0;
        to->respond(json_answer(internal::ok, body));
    } else if (target.starts_with("/api/order")) {
        on_order(request, to);
    } else if (target.starts_with("/api/stage-")) {
        on_stage(request, to);
    } else {
        return false;
    }
    return true;
}

auto server::on_order(const net::http_request& request, const answer& to) -> void {
    const auto order = boost::json::parse(request.m_body).as_object();
    if (order.at("expected").to_number<std::uint64_t>() != m_orders || m_busy) {
        to->respond({internal::conflict, {}, {}});
        return;
    }
    const auto version = order.at("version").to_number<std::uint64_t>();
    for (std::size_t piece = 0U; piece < m_options.m_pieces; ++piece) {
        if (m_staged[piece] != piece_bytes(version, piece)) {
            m_book.m_violations.note("weights were loaded with a wrong piece " + std::to_string(piece));
        }
    }
    ++m_orders;
    m_busy = true;
    to->respond({internal::accepted, {}, {}});
    m_loop.after(internal::load_time, [this, alive = m_alive, version] {
        if (*alive) {
            m_busy = false;
            m_options.m_version = version;
            write_entry();
        }
    });
}

auto server::on_stage(const net::http_request& request, const answer& to) -> void {
    const auto text = adapter::query_value(request.m_target, "chunk-count");
    if (text.empty()) {
        boost::json::array held{};
        for (const auto& [piece, bytes] : m_staged) {
            held.push_back(static_cast<std::int64_t>(piece));
        }
        to->respond(json_answer(internal::ok, {{"held", held}}));
        return;
    }
    const auto piece = static_cast<std::size_t>(std::strtoull(text.c_str(), nullptr, 10));
    if (request.m_method == "PUT") {
        m_staged[piece] = request.m_body;
        to->respond({internal::ok, {}, {}});
    } else if (const auto found = m_staged.find(piece); found != m_staged.end()) {
        to->respond({internal::ok, {}, found->second});
    } else {
        to->respond({internal::missing, {}, {}});
    }
}

auto server::check(const net::http_request& request) -> void {
    const auto attempt = internal::field(request, adapter::field::attempt);
    for (const auto& each : request.m_headers) {
        if (m_book.m_keys.contains(each.m_value) || each.m_name == "Authorization") {
            m_book.m_violations.note("a key was passed on with " + attempt);
        }
    }
    if (internal::field(request, adapter::field::organisation) != "org-" + attempt.substr(0U, 1U)) {
        m_book.m_violations.note("the organisation of " + attempt + " is wrong");
    }
    if (internal::field(request, adapter::field::deadline).empty()) {
        m_book.m_violations.note("no deadline was passed on with " + attempt);
    }
    constexpr duration slack = std::chrono::seconds{4};
    const auto told = std::max(m_drained_at, m_book.m_calm_since);
    if (m_draining && told != time_point::max() && steady_now() - told > slack) {
        m_book.m_violations.note(attempt + " reached a server long after it said that it leaves");
    }
}

auto server::on_request(const net::http_request& request, const answer& to) -> void {
    if (on_control(request, to)) {
        return;
    }
    ++m_count;
    ++m_book.m_arrivals[m_options.m_id];
    const auto hits = [this](const unsigned every) {
        return every != 0U && m_count % every == 0U;
    };
    if (internal::field(request, adapter::field::expect_server) != m_options.m_id) {
        to->respond(internal::not_executed(internal::misdirected));
        return;
    }
    const auto wanted = internal::field(request, adapter::field::expect_version);
    const auto holds = m_options.m_model.empty() || m_options.m_version != 0U;
    if (!holds || (!wanted.empty() && wanted != std::to_string(m_options.m_version))) {
        to->respond(internal::not_executed(internal::misdirected));
        return;
    }
    if (hits(m_faults.m_sheds) || m_running >= m_options.m_slots * 4U || m_busy) {
        to->respond(internal::not_executed(internal::unavailable));
        return;
    }
    if (m_faults.m_hangs) {
        m_unanswered.push_back(to);
        return;
    }
    check(request);
    ++m_book.m_runs[internal::field(request, adapter::field::attempt)];
    if (hits(m_faults.m_loses)) {
        to->abort();
        return;
    }
    run(request, to);
}

auto server::run(const net::http_request& request, const answer& to) -> void {
    if (!m_options.m_model.empty()) {
        run_stream(request, to);
        return;
    }
    const auto attempt = internal::field(request, adapter::field::attempt);
    ++m_running;
    m_loop.after(m_options.m_step, [this, alive = m_alive, attempt, to] {
        if (*alive) {
            --m_running;
            to->respond({internal::ok,
                         {{std::string{adapter::field::attempt}, attempt},
                          {std::string{adapter::field::signature}, "seal-" + attempt}},
                         plain_body(attempt)});
        }
    });
}

auto server::run_stream(const net::http_request& request, const answer& to) -> void {
    const auto attempt = internal::field(request, adapter::field::attempt);
    auto running = std::make_shared<stream>();
    running->m_to = to;
    running->m_content = request.m_body;
    const auto last = internal::field(request, adapter::field::last_event);
    running->m_next = last.empty() ? 1U : static_cast<unsigned>(std::stoul(last)) + 1U;
    running->m_cut_at =
        m_faults.m_cuts != 0U && m_count % m_faults.m_cuts == 0U ? running->m_next + 3U : events_of_stream + 1U;
    to->on_close([running] { running->m_left = true; });
    to->start({internal::ok,
               {{"Content-Type", "text/event-stream"},
                {std::string{adapter::field::attempt}, attempt},
                {std::string{adapter::field::version}, std::to_string(m_options.m_version)},
                {std::string{adapter::field::signature}, "seal-" + attempt}},
               {}});
    ++m_running;
    step(running);
}

auto server::step(const std::shared_ptr<stream>& running) -> void {
    m_loop.after(m_options.m_step, [this, alive = m_alive, running] {
        if (!*alive) {
            running->m_to->abort();
            return;
        }
        if (running->m_left) {
            --m_running;
            return;
        }
        const auto text = event_text(running->m_content, running->m_next);
        if (running->m_next == running->m_cut_at) {
            running->m_to->write(std::string_view{text}.substr(0U, text.size() / 2U));
            running->m_to->abort();
            --m_running;
            return;
        }
        running->m_to->write(text);
        if (running->m_next++ == events_of_stream) {
            running->m_to->finish();
            --m_running;
            return;
        }
        step(running);
    });
}

} // namespace rhubarbwharf::standin_site
