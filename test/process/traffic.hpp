#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <process/site.hpp>

namespace rhubarbwharf::process {

/*! @brief Number of requests by result. */
struct traffic_result {
    std::size_t m_complete{};
    /*! @brief Refused, or ended with an error that is visible to the caller. */
    std::size_t m_failed{};
    /*! @brief Answered with tokens of several versions or of another request. */
    std::size_t m_mixed{};
    /*! @brief Reported as complete although tokens are wrong, or tokens or the end marker are missing. */
    std::size_t m_truncated{};
    std::string m_first_failure{};
};

/*! @brief Load generator: callers that send streamed requests in sequence to the given entries until stopped. */
class traffic {
public:
    /*! @brief Starts the callers, each on its own thread. The cluster must outlive the load generator. */
    traffic(test_cluster& cluster, std::vector<std::size_t> entries, std::size_t callers, std::size_t tokens);
    ~traffic();
    traffic(const traffic&) = delete;
    traffic(traffic&&) = delete;
    auto operator=(const traffic&) -> traffic& = delete;
    auto operator=(traffic&&) -> traffic& = delete;

    /*! @brief Waits until a further number of requests has ended, with any result. @return False on timeout. */
    [[nodiscard]] auto wait_for_requests(std::size_t count) -> bool;
    /*! @brief Stops the callers after their current requests. */
    auto stop() -> traffic_result;

private:
    auto send_requests(std::size_t caller) -> void;
    auto record(const call_result& result, const completion_check& check) -> void;

    test_cluster& m_cluster;
    std::vector<std::size_t> m_entries{};
    std::size_t m_tokens_per_request{};
    std::atomic<bool> m_stopped{};
    std::atomic<std::size_t> m_ended_requests{};
    std::mutex m_mutex{};
    traffic_result m_result{};
    std::vector<std::thread> m_threads{};
};

/*! @brief Outcomes that all attempts of one payment reported. */
struct payment_outcomes {
    std::size_t m_accepted{};
    std::size_t m_not_run{};
    std::size_t m_unknown{};
    /*! @brief Whether every answer is an acceptance or states the outcome `not_run` or `unknown`. */
    bool m_all_have_outcome{true};
    std::string m_last_answer{};
};

auto record_outcome(payment_outcomes& outcomes, const call_result& result) -> void;

/**
 * @brief Retries a payment under its key until it is accepted or its outcome is final but unknown.
 * @return False on timeout.
 */
auto retry_until_settled(test_cluster& cluster, payment_outcomes& outcomes, std::string_view reference) -> bool;

/*! @brief Returns whether every answer has an outcome, and at most one execution took place, as the outcomes allow. */
[[nodiscard]] auto is_consistent(const payment_outcomes& outcomes, std::size_t executions) -> bool;

} // namespace rhubarbwharf::process
