#include <soak/clients.hpp>

#include <sstream>

#include <boost/json/parse.hpp>

#include <platform/names.hpp>

namespace rhubarbwharf::soak {

constexpr duration one_ms = std::chrono::milliseconds{1};
constexpr duration resolve_interval = std::chrono::milliseconds{500};
constexpr duration min_pause = std::chrono::milliseconds{5};
constexpr std::uint64_t pause_spread_ms = 40U;
/*! @brief Deadline that each request states. */
constexpr duration request_deadline = std::chrono::milliseconds{3'000};
constexpr duration max_lateness = std::chrono::milliseconds{500};
/*! @brief Time after which a client gives up. */
constexpr duration request_timeout = std::chrono::milliseconds{4'500};
/*! @brief Interval at which the older list of addresses is replaced by the current one. */
constexpr duration older_list_interval = std::chrono::milliseconds{2'500};

/*! @brief Properties of one request that determine the expected response. */
struct clients::request_plan {
    std::string m_attempt{};
    std::string m_content{};
    bool m_is_stream{false};
    bool m_is_at_most_once{false};
    /*! @brief Whether the route is missing in some configurations. */
    bool m_is_extra{false};
    std::string m_path{};
    net::endpoint m_gateway{};
    time_point m_sent_at{};
    /*! @brief Parts of the prompt that other requests have as well. */
    std::vector<std::string> m_parts{};
};

namespace {

constexpr unsigned tokens_per_part = 100U;
constexpr unsigned tokens_of_own_part = 50U;

/*! @brief Adds the headers of a prompt that consists of shared parts and one part of its own. */
auto add_prompt_headers(net::http_request& request, const std::vector<std::string>& parts, const std::uint64_t own_part)
    -> void {
    std::ostringstream text{};
    for (const auto& each : parts) {
        text << each << ':' << tokens_per_part << ',';
    }
    text << "f0" << own_part << ':' << tokens_of_own_part;
    request.m_headers.push_back({std::string{adapter::field::prompt_parts}, text.str()});
    request.m_headers.push_back(
        {std::string{adapter::field::tokens}, std::to_string(tokens_of_own_part + tokens_per_part * parts.size()) +
                                                  ',' + std::to_string(standin_site::events_per_stream)});
}

} // namespace

clients::clients(fleet& daemons, const std::uint64_t seed, const std::size_t count)
    : m_fleet{daemons}, m_random{seed}, m_part_random{seed + 1U}, m_active_clients{count} {
    for (const auto& each : m_fleet.daemons()) {
        if (each.is_gateway()) {
            m_directory_addresses.push_back(each.m_directory_address);
        }
    }
    m_loop.every(resolve_interval, [this] { resolve_addresses(); });
    m_loop.every(older_list_interval, [this] { m_older_addresses = m_gateway_addresses; });
    for (std::size_t index = 0U; index < count; ++index) {
        m_loop.post([this] { send_next(); });
    }
    m_thread = std::thread{[this] {
        m_loop.run();
    }};
}

clients::~clients() {
    m_loop.stop();
    m_thread.join();
}

auto clients::set_guilty_part(const std::string& part) -> void {
    m_loop.post([this, part] { m_guilty_part = part; });
}

auto clients::finish() -> client_statistics {
    m_loop.post([this] { m_stopping = true; });
    m_finished.get_future().wait();
    return m_statistics;
}

auto clients::resolve_addresses() -> void {
    net::http_request request{};
    request.m_target = "/api/resolve?name=site.example&region=region-1&zone=dc-1";
    net::call_limits limits{};
    limits.m_total_time = resolve_interval;
    limits.m_connect_time = resolve_interval;
    m_http.fetch(m_directory_addresses[m_random() % m_directory_addresses.size()], std::move(request), limits,
                 [this](const net::call_end&, const net::http_response& response) {
                     if (response.m_status != 200U) {
                         return;
                     }
                     std::vector<net::endpoint> addresses{};
                     const auto body = boost::json::parse(response.m_body).as_object();
                     for (const auto& each : body.at("addresses").as_array()) {
                         if (const auto address = net::parse_endpoint(std::string{each.as_string()})) {
                             addresses.push_back(*address);
                         }
                     }
                     m_gateway_addresses = addresses.empty() ? m_gateway_addresses : addresses;
                 });
}

auto clients::send_next() -> void {
    if (m_stopping) {
        if (--m_active_clients == 0U) {
            m_finished.set_value();
        }
        return;
    }
    const auto schedule_next = [this] {
        m_loop.after(min_pause + std::chrono::milliseconds{m_random() % pause_spread_ms}, [this] { send_next(); });
    };
    if (m_gateway_addresses.empty()) {
        schedule_next();
        return;
    }
    auto plan = make_plan();
    net::http_request request{};
    request.m_method = plan.m_content.empty() ? "GET" : "POST";
    request.m_target = plan.m_path + "x";
    request.m_host = standin_site::host_name;
    request.m_body = plan.m_content;
    request.m_headers = {{std::string{adapter::field::attempt}, plan.m_attempt},
                         {"Authorization", "Bearer key-of-" + plan.m_attempt.substr(0U, 1U)},
                         {std::string{adapter::field::organisation}, "forged"},
                         {std::string{adapter::field::deadline}, std::to_string(request_deadline / one_ms)}};
    if (plan.m_is_stream) {
        request.m_headers.push_back({std::string{adapter::field::model}, std::string{standin_site::model_name}});
        if (plan.m_parts.empty()) {
            request.m_headers.push_back({std::string{adapter::field::tokens}, "10,12"});
        } else {
            add_prompt_headers(request, plan.m_parts, m_last_attempt_number);
        }
    }
    ++m_statistics.m_sent;
    if (plan.m_is_at_most_once) {
        m_statistics.m_at_most_once_attempts.push_back(plan.m_attempt);
    }
    net::call_limits limits{};
    limits.m_total_time = request_timeout;
    limits.m_connect_time = std::chrono::seconds{1};
    limits.m_idle_time = request_timeout;
    plan.m_gateway = choose_gateway();
    plan.m_sent_at = steady_now();
    if (plan.m_is_stream) {
        m_statistics.m_prompts.push_back({plan.m_attempt, plan.m_gateway, plan.m_sent_at, plan.m_parts});
    }
    m_http.fetch(plan.m_gateway, std::move(request), limits,
                 [this, plan, schedule_next](const net::call_end& end, const net::http_response& response) {
                     check_end(plan, end);
                     check_response(plan, end, response);
                     schedule_next();
                 });
}

auto clients::make_plan() -> request_plan {
    constexpr std::uint64_t extra_paths = 8U;
    request_plan out{};
    const auto kind = m_random() % 4U;
    out.m_attempt = std::string{"abc"[m_random() % 3U]} + std::to_string(++m_last_attempt_number);
    out.m_is_stream = kind == 0U;
    if (out.m_is_stream) {
        choose_parts(out);
    }
    out.m_is_at_most_once = kind == 1U;
    out.m_is_extra = kind == 3U;
    out.m_content = out.m_is_stream || out.m_is_at_most_once ? "content-" + out.m_attempt : std::string{};
    out.m_path = out.m_is_stream         ? standin_site::model_path
                 : out.m_is_at_most_once ? standin_site::ledger_path
                                         : standin_site::lookup_path;
    if (out.m_is_extra) {
        out.m_path = "/extra/" + std::to_string(m_random() % extra_paths) + "/";
    }
    return out;
}

auto clients::choose_parts(request_plan& plan) -> void {
    constexpr std::uint64_t streams_per_guilty_one = 6U;
    static const std::vector<std::vector<std::string>> shared{
        {}, {std::string{guilty_first_part}, "bb02"}, {std::string{guilty_first_part}, "bb22"}, {"aa11", "bb12"}};
    if (!m_guilty_part.empty() && m_part_random() % streams_per_guilty_one == 0U) {
        plan.m_attempt.front() = guilty_key;
        plan.m_parts = {std::string{guilty_first_part}, "bb02", m_guilty_part};
    } else {
        plan.m_parts = shared[m_part_random() % shared.size()];
    }
}

auto clients::choose_gateway() -> net::endpoint {
    const auto uses_older_list = m_random() % 3U == 0U && !m_older_addresses.empty();
    const auto& addresses = uses_older_list ? m_older_addresses : m_gateway_addresses;
    return addresses[m_random() % addresses.size()];
}

auto clients::check_end(const request_plan& plan, const net::call_end& end) -> void {
    const auto now = steady_now();
    const auto is_late = now - plan.m_sent_at > request_deadline + max_lateness;
    if (end.m_sent == net::sent::some && (is_late || end.m_code != code::ok)) {
        m_statistics.m_suspects.push_back(
            {plan.m_attempt, plan.m_gateway, plan.m_sent_at, now, is_late, end.m_code == code::cut_stream});
    }
}

auto clients::check_response(const request_plan& plan, const net::call_end& end, const net::http_response& response)
    -> void {
    if (end.m_code != code::ok) {
        m_statistics.m_cut += end.m_sent == net::sent::some && end.m_code != code::timed_out ? 1U : 0U;
        ++m_statistics.m_failed;
        return;
    }
    if (response.m_status == 503U || response.m_status == 429U) {
        ++m_statistics.m_refused;
        m_statistics.m_refused_attempts.push_back(plan.m_attempt);
        return;
    }
    if (response.m_status == 404U && plan.m_is_extra) {
        ++m_statistics.m_refused;
        return;
    }
    if (response.m_status == 404U || response.m_status == 401U || response.m_status == 400U) {
        m_statistics.m_violations.add(plan.m_attempt + " was denied with status " + std::to_string(response.m_status));
    }
    if (response.m_status != 200U) {
        ++m_statistics.m_failed;
        return;
    }
    std::string stream_body{};
    for (unsigned index = 1U; index <= standin_site::events_per_stream; ++index) {
        stream_body += standin_site::event_text(plan.m_content, index);
    }
    const auto& expected_body = plan.m_is_stream ? stream_body : standin_site::plain_server_body(plan.m_attempt);
    if (response.m_body != expected_body) {
        m_statistics.m_violations.add(plan.m_attempt +
                                      " got a wrong or incomplete response: " + response.m_body.substr(0U, 300U));
    }
    if (net::find(response.m_headers, adapter::field::signature) != "seal-" + plan.m_attempt) {
        m_statistics.m_violations.add(plan.m_attempt + " got a response without a valid signature");
    }
    ++m_statistics.m_answered;
}

} // namespace rhubarbwharf::soak
