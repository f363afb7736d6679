#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <rhubarbwharf/execution/owner.hpp>

namespace rhubarbwharf::test {

/*! @brief Deliberate faults that the checks must detect. */
enum class fault : std::uint8_t {
    none,
    /*! @brief The store writes regardless of the expected revision. */
    ignore_compare,
    /*! @brief A call that was started is reported as not run. */
    deny_run,
};

/*! @brief Simulated key-value store. */
struct store {
    struct value {
        std::string m_bytes{};
        std::uint64_t m_revision{};
        std::int64_t m_lease{};
    };

    std::map<std::string, value> m_values{};
    std::map<std::int64_t, time_point> m_leases{};
    std::uint64_t m_revision{};
    std::int64_t m_last_lease{};
};

/*! @brief Operation on the store, or call at the backend server, that has not ended. */
struct pending_operation {
    std::size_t m_process{};
    std::uint64_t m_incarnation{};
    execution::command m_command{};
    bool m_is_applied{};
    /*! @brief Whether its sender has received a result or has stopped; it may still take effect. */
    bool m_is_orphaned{};
    /*! @brief Time before which it neither takes effect nor ends. */
    time_point m_not_before{};
    execution::write_result m_result{};
    std::vector<execution::stored_segment> m_segments{};
    std::vector<execution::owner_listing> m_owners{};
    std::int64_t m_lease{};
};

/*! @brief Simulated owner process. */
struct process {
    execution::owner m_owner{};
    std::uint64_t m_incarnation{};
    bool m_is_paused{};
    std::deque<std::function<void()>> m_inbox{};
};

/*! @brief Call with the answers that its caller received. */
struct call_record {
    execution::call_key m_key{};
    std::uint32_t m_answers{};
    code m_code{};
    outcome m_outcome{};
    std::string m_body{};
    std::uint32_t m_runs{};
};

/*! @brief Event counts, used to check that the simulation covers all cases. */
struct run_counts {
    std::uint64_t m_steps{};
    std::uint64_t m_calls{};
    std::uint64_t m_runs{};
    std::uint64_t m_answered{};
    std::uint64_t m_not_run{};
    std::uint64_t m_unknown{};
    std::uint64_t m_takeovers{};
    std::uint64_t m_fenced{};
    std::uint64_t m_expired{};
    std::uint64_t m_lost{};
};

/*! @brief Owner processes, a store and a backend server, driven by random events. */
class simulation {
public:
    simulation(std::uint64_t seed, fault chosen);

    /*! @brief Runs a number of random events, then completes all pending operations. */
    auto run(std::size_t steps) -> void;

    /*! @brief Describes the first violated invariant; empty if there is none. */
    [[nodiscard]] auto violation() const -> std::string;

    [[nodiscard]] auto counts() const -> run_counts;

private:
    [[nodiscard]] auto random_below(std::size_t limit) -> std::size_t;
    auto step() -> void;
    auto start(std::size_t index) -> void;
    auto run_or_queue(std::size_t index, const std::function<void(execution::owner&, execution::commands&)>& action)
        -> void;
    auto send_commands(std::size_t index, execution::commands& issued) -> void;
    auto record_answer(const execution::answer_call& answer) -> void;
    auto submit_call() -> void;
    auto advance_operation() -> void;
    auto apply(pending_operation& item) -> void;
    auto apply_write(pending_operation& item, const execution::write_key& request) -> void;
    auto apply_remove(pending_operation& item, const execution::remove_key& request) -> void;
    auto execute(const execution::run_call& request) -> void;
    auto deliver(const pending_operation& item, bool is_lost) -> void;
    auto inject_fault() -> void;
    auto advance_time() -> void;
    auto expire_leases() -> void;
    [[nodiscard]] auto wall() const -> wall_time;

    std::mt19937_64 m_random;
    fault m_fault;
    store m_store{};
    std::vector<process> m_processes{};
    std::vector<pending_operation> m_operations{};
    std::map<std::uint64_t, call_record> m_call_records{};
    std::map<execution::call_key, std::uint32_t> m_runs{};
    std::map<execution::call_key, std::string> m_bodies{};
    std::vector<std::uint64_t> m_key_times_ms{};
    time_point m_now{std::chrono::seconds{1}};
    std::chrono::milliseconds m_wall_offset{std::chrono::hours{1000}};
    std::uint64_t m_last_call{};
    std::uint64_t m_last_incarnation{};
    bool m_is_store_down{};
    bool m_is_draining{};
    run_counts m_counts{};
};

} // namespace rhubarbwharf::test
