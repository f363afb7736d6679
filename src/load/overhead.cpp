#include <optional>

#include <rhubarbwharf/net/loop.hpp>

#include "load/answer.hpp"
#include "load/figures.hpp"
#include "load/measure.hpp"
#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::size_t warm_up_pairs = 20U;
constexpr std::uint16_t http_ok = 200U;

[[nodiscard]] auto failure_reason(const completion& received, const net::call_end& end) -> std::string {
    if (end.m_code != code::ok) {
        return std::string{describe(end.m_code).m_name};
    }
    const auto reason = received.m_status == http_ok ? std::string{"incomplete"} : refusal_reason(received.m_buffer);
    return reason.empty() ? "http_" + std::to_string(received.m_status) : reason;
}

/*! @brief Latency and outcome of one request. */
struct timing {
    duration m_first_token{};
    duration m_total{};
    bool m_is_complete{};
    /*! @brief Result code, refusal or `incomplete`; empty for a complete response. */
    std::string m_failure_reason{};
};

/**
 * @brief Sends pairs of equal requests one after another, one directly to the engine and one through an entry.
 *
 * Which of the two is sent first alternates from pair to pair. The latencies of the first `warm_up_pairs` pairs are
 * discarded.
 */
class pair_client {
public:
    explicit pair_client(const settings& config) : m_settings{config}, m_schedule{make_schedule(config)} {}

    auto run() -> void {
        send_next_pair();
        m_loop.run();
    }

    quantiles m_direct_first_token{};
    quantiles m_proxied_first_token{};
    quantiles m_added_first_token{};
    quantiles m_added_total{};
    std::uint64_t m_pairs{};
    std::uint64_t m_failures{};
    boost::json::object m_failures_by_reason{};

private:
    auto send_next_pair() -> void {
        if (m_pair_index == m_schedule.size()) {
            m_loop.stop();
            return;
        }
        const auto direct_first = m_pair_index % 2U == 0U;
        send_request(direct_first, [this, direct_first](const timing& first) {
            send_request(!direct_first, [this, direct_first, first](const timing& second) {
                record_pair(direct_first ? first : second, direct_first ? second : first);
                ++m_pair_index;
                send_next_pair();
            });
        });
    }

    auto record_pair(const timing& direct, const timing& proxied) -> void {
        if (!direct.m_is_complete || !proxied.m_is_complete) {
            ++m_failures;
            const auto reason =
                direct.m_is_complete ? "through " + proxied.m_failure_reason : "direct " + direct.m_failure_reason;
            auto& count = m_failures_by_reason[reason];
            count = count.is_null() ? std::int64_t{1} : count.get_int64() + 1;
            return;
        }
        if (m_pair_index < warm_up_pairs) {
            return;
        }
        ++m_pairs;
        m_direct_first_token.add(direct.m_first_token);
        m_proxied_first_token.add(proxied.m_first_token);
        m_added_first_token.add(proxied.m_first_token - direct.m_first_token);
        m_added_total.add(proxied.m_total - direct.m_total);
    }

    auto send_request(const bool direct, std::function<void(const timing&)> done) -> void {
        struct request_state {
            completion m_completion{};
            timing m_timing{};
        };

        const auto scheduled = m_schedule[m_pair_index];
        const auto state = std::make_shared<request_state>();
        const auto start_time = steady_now();
        net::call_handlers handlers{};
        handlers.m_on_head = [state](const net::http_response& head) {
            state->m_completion.m_status = head.m_status;
        };
        handlers.m_on_part = [state, start_time](const std::string_view part) {
            if (state->m_completion.m_status != http_ok) {
                state->m_completion.m_buffer.append(part);
            } else if (parse_events(state->m_completion, part) > 0U &&
                       state->m_timing.m_first_token == duration::zero()) {
                state->m_timing.m_first_token = steady_now() - start_time;
            }
        };
        handlers.m_on_end = [this, state, start_time, done = std::move(done)](const net::call_end& end) {
            state->m_timing.m_total = steady_now() - start_time;
            state->m_timing.m_is_complete = end.m_code == code::ok && state->m_completion.m_is_complete &&
                                            state->m_completion.m_tokens == m_settings.m_tokens;
            if (!state->m_timing.m_is_complete) {
                state->m_timing.m_failure_reason = failure_reason(state->m_completion, end);
            }
            done(state->m_timing);
        };
        const auto& server = direct ? *m_settings.m_engine : m_settings.m_targets[scheduled.m_target_index];
        m_http.send(server, make_request(m_settings, scheduled), {}, std::move(handlers));
    }

    settings m_settings{};
    std::vector<scheduled_request> m_schedule{};
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::size_t m_pair_index{};
};

} // namespace internal

auto run_overhead(const settings& config, std::ostream& out) -> status {
    auto streaming_config = config;
    streaming_config.m_stream = true;
    internal::pair_client client{streaming_config};
    client.run();
    const boost::json::object figures{{"pairs", client.m_pairs},
                                      {"failures", client.m_failures},
                                      {"faults", client.m_failures_by_reason},
                                      {"direct_first_byte_ms_p50", client.m_direct_first_token.at(0.5)},
                                      {"direct_first_byte_ms_p99", client.m_direct_first_token.at(0.99)},
                                      {"through_first_byte_ms_p50", client.m_proxied_first_token.at(0.5)},
                                      {"through_first_byte_ms_p99", client.m_proxied_first_token.at(0.99)},
                                      {"added_first_byte_ms_p50", client.m_added_first_token.at(0.5)},
                                      {"added_first_byte_ms_p99", client.m_added_first_token.at(0.99)},
                                      {"added_total_ms_p50", client.m_added_total.at(0.5)},
                                      {"added_total_ms_p99", client.m_added_total.at(0.99)}};
    write_figures(out, "overhead", "tokens=" + std::to_string(config.m_tokens), config.m_seed, figures);
    return client.m_pairs > 0U ? status::done : status::unreachable;
}

} // namespace rhubarbwharf::load
