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

/*! @brief Deliberate faults, to see that the checks find them. */
enum class fault : std::uint8_t {
    none,
    /*! @brief The store writes whatever the revision is. */
    ignore_compare,
    /*! @brief A call that has started is reported as not run. */
    deny_run,
};

/*! @brief Key-value store of the tests. */
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

/*! @brief One operation on the store on its way, or one call at the backend server. */
struct flight {
    std::size_t m_process{};
    std::uint64_t m_incarnation{};
    execution::command m_command{};
    bool m_is_applied{};
    /*! @brief Whether its sender has been answered or is gone; it may take effect yet. */
    bool m_is_ghost{};
    /*! @brief Nothing happens to it before. */
    time_point m_not_before{};
    execution::write_result m_result{};
    std::vector<execution::stored_segment> m_segments{};
    std::vector<execution::owner_listing> m_owners{};
    std::int64_t m_lease{};
};

/*! @brief One owner process. */
struct process {
    execution::owner m_table{};
    std::uint64_t m_incarnation{};
    bool m_is_paused{};
    std::deque<std::function<void()>> m_inbox{};
};

/*! @brief A call and what its caller was told. */
struct told {
    execution::call_key m_key{};
    std::uint32_t m_answers{};
    code m_code{};
    outcome m_outcome{};
    std::string m_body{};
    std::uint32_t m_runs{};
};

/*! @brief Counts that show a run was not empty. */
struct tally {
    std::uint64_t m_steps{};
    std::uint64_t m_calls{};
    std::uint64_t m_runs{};
    std::uint64_t m_answered{};
    std::uint64_t m_not_run{};
    std::uint64_t m_unknown{};
    std::uint64_t m_takeovers{};
    std::uint64_t m_fenced{};
    std::uint64_t m_folded{};
    std::uint64_t m_lost{};
};

/*! @brief Owners, a store and a backend server, driven by random events. */
class world {
public:
    world(std::uint64_t seed, fault chosen);

    /*! @brief Runs random events, then lets all that is under way take effect. */
    auto run(std::size_t steps) -> void;

    /*! @brief Returns what is broken; empty if nothing. */
    [[nodiscard]] auto verdict() const -> std::string;

    [[nodiscard]] auto counts() const -> tally;

private:
    [[nodiscard]] auto draw(std::size_t limit) -> std::size_t;
    auto step() -> void;
    auto start(std::size_t index) -> void;
    auto with(std::size_t index, const std::function<void(execution::owner&, execution::commands&)>& action) -> void;
    auto carry_out(std::size_t index, execution::commands& orders) -> void;
    auto tell(const execution::answer_call& answer) -> void;
    auto call() -> void;
    auto move_flight() -> void;
    auto apply(flight& item) -> void;
    auto apply_write(flight& item, const execution::write_key& order) -> void;
    auto apply_remove(flight& item, const execution::remove_key& order) -> void;
    auto execute(const execution::run_call& order) -> void;
    auto deliver(const flight& item, bool is_lost) -> void;
    auto disturb() -> void;
    auto pass_time() -> void;
    auto expire() -> void;
    [[nodiscard]] auto wall() const -> wall_time;

    std::mt19937_64 m_random;
    fault m_fault;
    store m_store{};
    std::vector<process> m_processes{};
    std::vector<flight> m_flights{};
    std::map<std::uint64_t, told> m_told{};
    std::map<execution::call_key, std::uint32_t> m_runs{};
    std::map<execution::call_key, std::string> m_bodies{};
    std::vector<std::uint64_t> m_key_times{};
    time_point m_now{std::chrono::seconds{1}};
    std::chrono::milliseconds m_wall_offset{std::chrono::hours{1000}};
    std::uint64_t m_last_call{};
    std::uint64_t m_last_incarnation{};
    bool m_is_down{};
    bool m_is_over{};
    tally m_tally{};
};

} // namespace rhubarbwharf::test
