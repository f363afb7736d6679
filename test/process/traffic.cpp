#include "traffic.hpp"

namespace rhubarbwharf::process {

traffic::traffic(test_cluster& where, std::vector<std::size_t> entries, const std::size_t callers,
                 const std::size_t tokens)
    : m_cluster{where}, m_entries{std::move(entries)}, m_tokens_per_request{tokens} {
    for (std::size_t index = 0; index < callers; ++index) {
        m_threads.emplace_back([this, index] { send_requests(index); });
    }
}

traffic::~traffic() {
    stop();
}

auto traffic::wait_for_requests(const std::size_t more) -> bool {
    const auto wanted = m_completed_requests + more;
    return wait_until([this, wanted] { return m_completed_requests >= wanted; });
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
        const auto got = m_cluster.generate(entry, prompt, m_tokens_per_request).get();
        record(got, check_completion(got, prompt, m_tokens_per_request));
        ++m_completed_requests;
    }
}

auto traffic::record(const call_result& got, const completion_check& made) -> void {
    const std::lock_guard guard{m_mutex};
    m_result.m_complete += made.m_complete ? 1U : 0U;
    m_result.m_mixed += made.m_mixed ? 1U : 0U;
    m_result.m_truncated += made.m_reported_complete && !made.m_complete ? 1U : 0U;
    m_result.m_failed += made.m_reported_complete ? 0U : 1U;
    if (!made.m_complete && m_result.m_first_failure.empty()) {
        m_result.m_first_failure = std::to_string(got.m_response.m_status) + " " +
                                   std::string{describe(got.m_end.m_code).m_name} + " " + got.m_response.m_body;
    }
}

auto record_outcome(payment_outcomes& all, const call_result& got) -> void {
    const auto said = outcome_of(got);
    const auto accepted = got.m_end.m_code == code::ok && got.m_response.m_status == 201;
    all.m_accepted += accepted ? 1U : 0U;
    all.m_not_run += said == "not_run" ? 1U : 0U;
    all.m_unknown += said == "unknown" ? 1U : 0U;
    all.m_all_have_outcome = all.m_all_have_outcome && (accepted || said == "not_run" || said == "unknown");
    all.m_last_answer = std::to_string(got.m_response.m_status) + " " + std::string{describe(got.m_end.m_code).m_name} +
                        " " + got.m_response.m_body;
}

auto retry_until_settled(test_cluster& where, payment_outcomes& all, const std::string_view reference) -> bool {
    std::size_t entry{};
    return wait_until([&] {
        const auto got = where.send_payment(entry++ % where.entries().size(), reference).get();
        record_outcome(all, got);
        const auto still_runs = got.m_response.m_body.find("\"in_progress\"") != std::string::npos;
        return got.m_response.m_status == 201 || (outcome_of(got) == "unknown" && !still_runs);
    });
}

auto is_consistent(const payment_outcomes& all, const std::size_t runs) -> bool {
    if (runs > 1U || !all.m_all_have_outcome) {
        return false;
    }
    return runs == 1U ? all.m_accepted + all.m_unknown > 0U : all.m_accepted == 0U;
}

} // namespace rhubarbwharf::process
