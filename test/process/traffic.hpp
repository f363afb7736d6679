#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <process/site.hpp>

namespace rhubarbwharf::process {

/*! @brief What became of the requests of one traffic. */
struct traffic_result {
    std::size_t m_complete{};
    /*! @brief Refused, or ended with an error that its caller could see. */
    std::size_t m_failed{};
    /*! @brief With tokens of two versions or of another request. */
    std::size_t m_mixed{};
    /*! @brief Shown as complete although tokens or the end mark were missing. */
    std::size_t m_truncated{};
    std::string m_first_failure{};
};

/*! @brief Callers that send streamed requests one after another to the given entries until stopped. */
class traffic {
public:
    traffic(test_cluster& where, std::vector<std::size_t> entries, std::size_t callers, std::size_t tokens);
    ~traffic();
    traffic(const traffic&) = delete;
    traffic(traffic&&) = delete;
    auto operator=(const traffic&) -> traffic& = delete;
    auto operator=(traffic&&) -> traffic& = delete;

    /*! @brief Waits until so many more requests have ended. */
    [[nodiscard]] auto wait_for_requests(std::size_t more) -> bool;
    /*! @brief Ends the callers once their requests have ended. */
    auto stop() -> traffic_result;

private:
    auto send_requests(std::size_t caller) -> void;
    auto record(const call_result& got, const completion_check& made) -> void;

    test_cluster& m_cluster;
    std::vector<std::size_t> m_entries{};
    std::size_t m_tokens_per_request{};
    std::atomic<bool> m_stopped{};
    std::atomic<std::size_t> m_completed_requests{};
    std::mutex m_mutex{};
    traffic_result m_result{};
    std::vector<std::thread> m_threads{};
};

/*! @brief All answers that one payment got, and what they add up to. */
struct payment_outcomes {
    std::size_t m_accepted{};
    std::size_t m_not_run{};
    std::size_t m_unknown{};
    /*! @brief Whether no answer is missing a word on the outcome. */
    bool m_all_have_outcome{true};
    std::string m_last_answer{};
};

/*! @brief Adds one answer. */
auto record_outcome(payment_outcomes& all, const call_result& got) -> void;

/*! @brief Sends a payment again under its key until it is accepted or its outcome is said to be unknown. */
auto retry_until_settled(test_cluster& where, payment_outcomes& all, std::string_view reference) -> bool;

/*! @brief Tells whether the ledger's count agrees with all that was said; at most one run in any case. */
[[nodiscard]] auto is_consistent(const payment_outcomes& all, std::size_t runs) -> bool;

} // namespace rhubarbwharf::process
