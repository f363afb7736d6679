#include "traffic.hpp"

namespace rhubarbwharf::process {

traffic::traffic(test_cluster& cluster, std::vector<std::size_t> entries, const std::size_t callers,
                 const std::size_t tokens)
    : m_cluster{cluster}, m_entries{std::move(entries)}, m_tokens_per_request{tokens} {
    for (std::size_t index = 0; index < callers; ++index) {
        m_threads.emplace_back([this, index] { send_requests(index); });
    }
}

traffic::~traffic() {
    stop();
}

auto traffic::wait_for_requests(const std::size_t count) -> bool {
    const auto target = m_ended_requests + count;
    return wait_until([this, target] { return m_ended_requests >= target; });
}

auto traffic::stop() -> traffic_result {
    m_stopped = true;
    for (auto& thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return m_result;
}

auto traffic::send_requests(const std::size_t caller) -> void {
    for (std::size_t number = 0; !m_stopped; ++number) {
        const auto prompt = "caller " + std::to_string(caller) + " asks " + std::to_string(number % 7U);
        const auto entry = m_entries[(caller + number) % m_entries.size()];
        const auto result = m_cluster.generate(entry, prompt, m_tokens_per_request).get();
        record(result, check_completion(result, prompt, m_tokens_per_request));
        ++m_ended_requests;
    }
}

auto traffic::record(const call_result& result, const completion_check& check) -> void {
    const std::lock_guard lock{m_mutex};
    m_result.m_complete += check.m_complete ? 1U : 0U;
    m_result.m_mixed += check.m_mixed ? 1U : 0U;
    m_result.m_truncated += check.m_reported_complete && !check.m_complete ? 1U : 0U;
    m_result.m_failed += check.m_reported_complete ? 0U : 1U;
    if (!check.m_complete && m_result.m_first_failure.empty()) {
        m_result.m_first_failure = std::to_string(result.m_response.m_status) + " " +
                                   std::string{describe(result.m_end.m_code).m_name} + " " + result.m_response.m_body;
    }
}

auto record_outcome(payment_outcomes& outcomes, const call_result& result) -> void {
    const auto outcome = outcome_of(result);
    const auto accepted = result.m_end.m_code == code::ok && result.m_response.m_status == 201;
    outcomes.m_accepted += accepted ? 1U : 0U;
    outcomes.m_not_run += outcome == "not_run" ? 1U : 0U;
    outcomes.m_unknown += outcome == "unknown" ? 1U : 0U;
    outcomes.m_all_have_outcome =
        outcomes.m_all_have_outcome && (accepted || outcome == "not_run" || outcome == "unknown");
    outcomes.m_last_answer = std::to_string(result.m_response.m_status) + " " +
                             std::string{describe(result.m_end.m_code).m_name} + " " + result.m_response.m_body;
}

auto retry_until_settled(test_cluster& cluster, payment_outcomes& outcomes, const std::string_view reference) -> bool {
    std::size_t entry{};
    return wait_until([&] {
        const auto result = cluster.send_payment(entry++ % cluster.entries().size(), reference).get();
        record_outcome(outcomes, result);
        const auto in_progress = result.m_response.m_body.find("\"in_progress\"") != std::string::npos;
        return result.m_response.m_status == 201 || (outcome_of(result) == "unknown" && !in_progress);
    });
}

auto is_consistent(const payment_outcomes& outcomes, const std::size_t executions) -> bool {
    if (executions > 1U || !outcomes.m_all_have_outcome) {
        return false;
    }
    return executions == 1U ? outcomes.m_accepted + outcomes.m_unknown > 0U : outcomes.m_accepted == 0U;
}

} // namespace rhubarbwharf::process
