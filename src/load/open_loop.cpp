#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

#include <boost/json.hpp>

#include <rhubarbwharf/net/loop.hpp>

#include "load/answer.hpp"
#include "load/figures.hpp"
#include "load/measure.hpp"
#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::uint16_t http_ok = 200U;
constexpr duration timeout_grace = std::chrono::seconds{30};

/*! @brief Statistics over all requests of a run. */
struct run_totals {
    /*! @brief Time from scheduled arrival to the first token; only measured for streams. */
    quantiles m_first_token_time{};
    /*! @brief Time between parts of a stream that complete at least one token. */
    quantiles m_token_gap{};
    /*! @brief Time from scheduled arrival to the end of a complete response. */
    quantiles m_total_time{};
    /*! @brief Number of error responses by result code and outcome. */
    std::map<std::string, std::uint64_t> m_refusals{};
    /*! @brief Number of calls that failed before a response with status 200 started, by result code. */
    std::map<std::string, std::uint64_t> m_failures{};
    /*! @brief Hash of the generated text by version, prefix and variant. */
    std::map<std::string, std::uint64_t> m_text_hashes{};
    std::map<std::string, std::uint64_t> m_completions_by_version{};
    std::uint64_t m_sent{};
    /*! @brief Requests skipped because too many were in progress. */
    std::uint64_t m_not_sent{};
    std::uint64_t m_complete{};
    std::uint64_t m_within_deadline{};
    /*! @brief Responses with status 200 that were cut off. */
    std::uint64_t m_cut_streams{};
    /*! @brief Responses that ended normally without end marker or with a wrong number of tokens. */
    std::uint64_t m_incomplete{};
    std::uint64_t m_mixed_version{};
    std::uint64_t m_wrong_version{};
    /*! @brief Completions that differ from an earlier one of the same prompt by the same version. */
    std::uint64_t m_mismatched{};
    std::uint64_t m_tokens{};
};

/*! @brief State of a request in progress. */
struct pending_request {
    scheduled_request m_scheduled{};
    completion m_completion{};
    /*! @brief Scheduled arrival; latencies count from it, so that a delayed send does not hide queueing time. */
    time_point m_due_time{};
    time_point m_last_token_time{};
};

/**
 * @brief Compares the text with the first completion of the same prompt by the same version, or records it as such.
 *
 * Assumes a deterministic engine: a difference indicates a response delivered to the wrong request.
 *
 * @return Whether the texts differ.
 */
[[nodiscard]] auto check_mismatch(run_totals& totals, const pending_request& request) -> bool {
    const auto& scheduled = request.m_scheduled;
    const auto key = request.m_completion.m_version + '/' + std::to_string(scheduled.m_prefix_index) + '/' +
                     std::to_string(scheduled.m_variant_index);
    const auto [previous, is_new] = totals.m_text_hashes.emplace(key, request.m_completion.m_text_hash);
    return !is_new && previous->second != request.m_completion.m_text_hash;
}

auto count_completion(run_totals& totals, const settings& config, const pending_request& request,
                      const code call_result, const time_point now) -> void {
    const auto& received = request.m_completion;
    if (call_result != code::ok) {
        ++(received.m_status == http_ok ? totals.m_cut_streams
                                        : totals.m_failures[std::string{describe(call_result).m_name}]);
        return;
    }
    if (received.m_status != http_ok) {
        const auto reason = refusal_reason(received.m_buffer);
        ++totals.m_refusals[reason.empty() ? "http_" + std::to_string(received.m_status) : reason];
        return;
    }
    if (!received.m_is_complete || received.m_tokens != config.m_tokens) {
        ++totals.m_incomplete;
        return;
    }
    ++totals.m_complete;
    ++totals.m_completions_by_version[received.m_version];
    const auto& allowed = config.m_versions;
    totals.m_wrong_version +=
        allowed.empty() || std::ranges::find(allowed, received.m_version) != allowed.end() ? 0U : 1U;
    totals.m_mixed_version += received.m_is_mixed ? 1U : 0U;
    totals.m_mismatched += check_mismatch(totals, request) ? 1U : 0U;
    totals.m_within_deadline += now - request.m_due_time <= config.m_deadline ? 1U : 0U;
    totals.m_total_time.add(now - request.m_due_time);
}

/*! @brief Sends the scheduled requests and collects statistics on their responses. */
class open_loop_client {
public:
    explicit open_loop_client(settings config) : m_settings{std::move(config)} {}

    /**
     * @brief Blocks until all requests have ended.
     * @return False if the only target did not answer the query for its entries.
     */
    auto run() -> bool {
        if (m_settings.m_targets.size() == 1U) {
            request_entries();
        } else {
            start();
        }
        m_loop.run();
        return !m_settings.m_targets.empty();
    }

    /*! @brief Returns the settings, with the targets replaced by the entries found. */
    [[nodiscard]] auto effective_settings() const noexcept -> const settings& { return m_settings; }

    run_totals m_totals{};
    /*! @brief Time from the start of the schedule to the end of the last response. */
    duration m_elapsed{};

private:
    auto request_entries() -> void {
        const auto target = m_settings.m_targets.front();
        m_http.fetch(target, {"GET", "/v1/entries", {}, {}, {}}, {},
                     [this](const net::call_end& end, const net::http_response& response) {
                         if (end.m_code != code::ok) {
                             m_settings.m_targets.clear();
                             m_loop.stop();
                             return;
                         }
                         apply_entries(response);
                         start();
                     });
    }

    auto apply_entries(const net::http_response& response) -> void {
        boost::system::error_code parse_error{};
        const auto body = boost::json::parse(response.m_body, parse_error);
        const auto* const object = parse_error ? nullptr : body.if_object();
        const auto* const entries = object == nullptr ? nullptr : object->if_contains("entries");
        if (entries == nullptr || !entries->is_array() || response.m_status != http_ok) {
            return;
        }
        std::vector<net::endpoint> endpoints{};
        for (const auto& entry : entries->get_array()) {
            const auto* const address = entry.is_object() ? entry.get_object().if_contains("address") : nullptr;
            const auto* const text = address == nullptr ? nullptr : address->if_string();
            const auto endpoint = text == nullptr ? std::nullopt : net::parse_endpoint({text->data(), text->size()});
            if (endpoint) {
                endpoints.push_back(*endpoint);
            }
        }
        if (!endpoints.empty()) {
            m_settings.m_targets = std::move(endpoints);
        }
    }

    auto start() -> void {
        m_schedule = make_schedule(m_settings);
        m_start_time = steady_now();
        send_due();
    }

    auto send_due() -> void {
        const auto now = steady_now();
        while (m_next_index < m_schedule.size() && m_start_time + m_schedule[m_next_index].m_offset <= now) {
            send(m_schedule[m_next_index]);
            ++m_next_index;
        }
        if (m_next_index < m_schedule.size()) {
            m_loop.after(m_start_time + m_schedule[m_next_index].m_offset - now, [this] { send_due(); });
        } else {
            stop_if_done();
        }
    }

    auto send(const scheduled_request& scheduled) -> void {
        if (m_in_progress >= m_settings.m_max_connections) {
            ++m_totals.m_not_sent;
            return;
        }
        ++m_in_progress;
        ++m_totals.m_sent;
        const auto pending = std::make_shared<pending_request>();
        pending->m_scheduled = scheduled;
        pending->m_due_time = m_start_time + scheduled.m_offset;
        net::call_handlers handlers{};
        handlers.m_on_head = [pending](const net::http_response& head) {
            pending->m_completion.m_status = head.m_status;
        };
        handlers.m_on_part = [this, pending](const std::string_view part) {
            on_part(*pending, part);
        };
        handlers.m_on_end = [this, pending](const net::call_end& end) {
            on_end(*pending, end);
        };
        net::call_limits limits{};
        limits.m_total_time = m_settings.m_deadline + timeout_grace;
        limits.m_idle_time = limits.m_total_time;
        m_http.send(m_settings.m_targets[scheduled.m_target_index], make_request(m_settings, scheduled), limits,
                    std::move(handlers));
    }

    auto on_part(pending_request& pending, const std::string_view part) -> void {
        if (pending.m_completion.m_status != http_ok || !m_settings.m_stream) {
            pending.m_completion.m_buffer.append(part);
            return;
        }
        const auto tokens_before = pending.m_completion.m_tokens;
        const auto tokens = parse_events(pending.m_completion, part);
        if (tokens == 0U) {
            return;
        }
        const auto now = steady_now();
        (tokens_before == 0U ? m_totals.m_first_token_time : m_totals.m_token_gap)
            .add(now - (tokens_before == 0U ? pending.m_due_time : pending.m_last_token_time));
        pending.m_last_token_time = now;
        m_totals.m_tokens += tokens;
    }

    auto on_end(pending_request& pending, const net::call_end& end) -> void {
        if (!m_settings.m_stream && pending.m_completion.m_status == http_ok) {
            const auto body = std::exchange(pending.m_completion.m_buffer, {});
            parse_body(pending.m_completion, body);
            m_totals.m_tokens += pending.m_completion.m_tokens;
        }
        count_completion(m_totals, m_settings, pending, end.m_code, steady_now());
        --m_in_progress;
        stop_if_done();
    }

    auto stop_if_done() -> void {
        if (m_next_index == m_schedule.size() && m_in_progress == 0U) {
            m_elapsed = steady_now() - m_start_time;
            m_loop.stop();
        }
    }

    settings m_settings{};
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::vector<scheduled_request> m_schedule{};
    std::size_t m_next_index{};
    std::size_t m_in_progress{};
    time_point m_start_time{};
};

[[nodiscard]] auto to_json(const std::map<std::string, std::uint64_t>& counts) -> boost::json::object {
    boost::json::object object{};
    for (const auto& [name, count] : counts) {
        object[name] = count;
    }
    return object;
}

[[nodiscard]] auto per_second(const std::uint64_t count, const duration time) -> double {
    const auto seconds = std::chrono::duration<double>{std::max(time, duration{1})}.count();
    return std::round(static_cast<double>(count) / seconds * 10.0) / 10.0;
}

[[nodiscard]] auto to_figures(const run_totals& totals, const duration elapsed) -> boost::json::object {
    return {{"sent", totals.m_sent},
            {"not_sent", totals.m_not_sent},
            {"whole", totals.m_complete},
            {"good", totals.m_within_deadline},
            {"goodput_per_s", per_second(totals.m_within_deadline, elapsed)},
            {"tokens_per_s", per_second(totals.m_tokens, elapsed)},
            {"first_byte_ms_p50", totals.m_first_token_time.at(0.5)},
            {"first_byte_ms_p95", totals.m_first_token_time.at(0.95)},
            {"first_byte_ms_p99", totals.m_first_token_time.at(0.99)},
            {"token_gap_ms_p50", totals.m_token_gap.at(0.5)},
            {"token_gap_ms_p95", totals.m_token_gap.at(0.95)},
            {"token_gap_ms_p99", totals.m_token_gap.at(0.99)},
            {"total_ms_p50", totals.m_total_time.at(0.5)},
            {"total_ms_p95", totals.m_total_time.at(0.95)},
            {"cut_streams", totals.m_cut_streams},
            {"incomplete", totals.m_incomplete},
            {"mixed_version", totals.m_mixed_version},
            {"wrong_version", totals.m_wrong_version},
            {"crossed", totals.m_mismatched},
            {"refusals", to_json(totals.m_refusals)},
            {"failures", to_json(totals.m_failures)},
            {"versions", to_json(totals.m_completions_by_version)}};
}

[[nodiscard]] auto format_case(const settings& config) -> std::string {
    std::ostringstream text{};
    text << "rate=" << config.m_rate << " seconds=" << std::chrono::duration<double>{config.m_run_time}.count()
         << " tokens=" << config.m_tokens << " stream=" << config.m_stream << " targets=" << config.m_targets.size()
         << " prefixes=" << config.m_prefixes << " skew=" << config.m_skew;
    return text.str();
}

/*! @brief Adds the usage of each monitored process since the readings in `usage_before`. */
auto add_process_usage(boost::json::object& figures, const settings& config,
                       const std::vector<process_usage>& usage_before, const run_totals& totals) -> void {
    for (std::size_t index = 0U; index < usage_before.size(); ++index) {
        const auto& process = config.m_processes[index];
        const auto after = read_process_usage(process.m_pid);
        const auto processor_time = after.m_processor_time - usage_before[index].m_processor_time;
        figures[process.m_name] =
            boost::json::object{{"processor_s", std::chrono::duration<double>{processor_time}.count()},
                                {"requests_per_core_s", per_second(totals.m_complete, processor_time)},
                                {"tokens_per_core_s", per_second(totals.m_tokens, processor_time)},
                                {"resident_mb", after.m_resident_bytes / 1'000'000U}};
    }
}

} // namespace internal

auto run_open_loop(settings config, std::ostream& out) -> status {
    std::vector<process_usage> usage_before{};
    for (const auto& process : config.m_processes) {
        usage_before.push_back(read_process_usage(process.m_pid));
    }
    internal::open_loop_client client{std::move(config)};
    if (!client.run()) {
        return status::unreachable;
    }
    const auto& totals = client.m_totals;
    auto figures = internal::to_figures(totals, client.m_elapsed);
    internal::add_process_usage(figures, client.effective_settings(), usage_before, totals);
    write_figures(out, "load", internal::format_case(client.effective_settings()), client.effective_settings().m_seed,
                  std::move(figures));
    const auto wrong_completions =
        totals.m_incomplete + totals.m_mixed_version + totals.m_wrong_version + totals.m_mismatched;
    return wrong_completions == 0U ? status::done : status::wrong_completion;
}

} // namespace rhubarbwharf::load
