#pragma once

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <process/site.hpp>

namespace rhubarbwharf::process {

/*! @brief What became of the requests of one traffic. */
struct tally {
    std::size_t m_whole{};
    /*! @brief Refused, or ended with an error that its caller could see. */
    std::size_t m_failed{};
    /*! @brief With tokens of two versions or of another request. */
    std::size_t m_mixed{};
    /*! @brief Shown as complete although tokens or the end mark were missing. */
    std::size_t m_short{};
    std::string m_first_failure{};
};

/*! @brief Callers that send streamed requests one after another to the given entries until stopped. */
class traffic {
public:
    traffic(site& where, std::vector<std::size_t> entries, std::size_t callers, std::size_t tokens);
    ~traffic();
    traffic(const traffic&) = delete;
    traffic(traffic&&) = delete;
    auto operator=(const traffic&) -> traffic& = delete;
    auto operator=(traffic&&) -> traffic& = delete;

    /*! @brief Waits until so many more requests have ended. */
    [[nodiscard]] auto wait_for(std::size_t more) -> bool;
    /*! @brief Ends the callers once their requests have ended. */
    auto stop() -> tally;

private:
    auto run(std::size_t caller) -> void;
    auto note(const answer& got, const generated& made) -> void;

    site& m_site;
    std::vector<std::size_t> m_entries{};
    std::size_t m_tokens{};
    std::atomic<bool> m_stopped{};
    std::atomic<std::size_t> m_ended{};
    std::mutex m_mutex{};
    tally m_tally{};
    std::vector<std::thread> m_threads{};
};

/*! @brief All answers that one payment got, and what they add up to. */
struct settlement {
    std::size_t m_accepted{};
    std::size_t m_not_run{};
    std::size_t m_unknown{};
    /*! @brief Whether no answer is missing a word on the outcome. */
    bool m_clear{true};
    std::string m_last{};
};

/*! @brief Adds one answer. */
auto add(settlement& all, const answer& got) -> void;

/*! @brief Sends a payment again under its key until it is accepted or its outcome is said to be unknown. */
auto settle(site& where, settlement& all, std::string_view reference) -> bool;

/*! @brief Tells whether the ledger's count agrees with all that was said; at most one run in any case. */
[[nodiscard]] auto agrees(const settlement& all, std::size_t runs) -> bool;

} // namespace rhubarbwharf::process
