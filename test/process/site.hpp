#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <process/process.hpp>

namespace rhubarbwharf::process {

/*! @brief Sizes and settings of a test cluster. */
struct cluster_options {
    std::size_t m_entry_count{2};
    std::size_t m_engine_count{2};
    std::size_t m_ledger_count{1};
    /*! @brief Versions that the origin offers, as `MODEL:VERSION:BYTES,...`. */
    std::string m_weight_versions{"chef:1:2000000,chef:2:2000000"};
    /*! @brief Time per token of the stand-in engines, in milliseconds. */
    std::string m_token_ms{"5"};
    /*! @brief Execution time of a call at the stand-in ledgers, in milliseconds. */
    std::string m_work_ms{"2"};
    /*! @brief Whether the backend servers accept load orders with an outdated fencing number. */
    bool m_ignore_fencing{};
    std::uint32_t m_lease_s{2};
    std::uint32_t m_shard_count{4};
    std::uint32_t m_entries_ttl_ms{1'000};
};

/*! @brief One daemon; an agent also has a backend server. */
struct node {
    std::string m_name{};
    std::string m_settings_path{};
    net::endpoint m_caller_address{};
    net::endpoint m_admin_address{};
    net::endpoint m_bus_address{};
    net::endpoint m_backend_address{};
    std::vector<std::string> m_backend_arguments{};
    std::unique_ptr<child_process> m_daemon{};
    std::unique_ptr<child_process> m_backend_server{};
};

/*! @brief Version of the weights that the origin offers. */
struct offered_version {
    std::string m_manifest{};
    /*! @brief First digits of the content digest, as in `system_fingerprint` of an answer. */
    std::string m_fingerprint{};
};

/*! @brief Result of checking a streamed completion. */
struct completion_check {
    /*! @brief Whether it has all expected tokens, from one version, and the end marker. */
    bool m_complete{};
    /*! @brief Whether it ended without an error that is visible to its caller. */
    bool m_reported_complete{};
    /*! @brief Whether it has the end marker `[DONE]`. */
    bool m_has_end_marker{};
    /*! @brief Whether it contains tokens of several versions or of another request. */
    bool m_mixed{};
    std::size_t m_token_count{};
    std::string m_fingerprint{};
};

/*! @brief Entries, agents and stand-ins, each as a separate process on the loopback interface. */
class test_cluster {
public:
    /*! @brief Starts all processes and waits until every daemon is healthy; throws `std::runtime_error` on timeout. */
    explicit test_cluster(cluster_options options = {});

    [[nodiscard]] auto entries() noexcept -> std::deque<node>& { return m_entries; }

    [[nodiscard]] auto engines() noexcept -> std::deque<node>& { return m_engines; }

    [[nodiscard]] auto ledgers() noexcept -> std::deque<node>& { return m_ledgers; }

    [[nodiscard]] auto platform_address() const -> const net::endpoint& { return m_platform_address; }

    [[nodiscard]] auto origin_address() const -> const net::endpoint& { return m_origin_address; }

    [[nodiscard]] auto versions() const -> const std::vector<offered_version>& { return m_versions; }

    [[nodiscard]] auto client() noexcept -> threaded_http_client& { return m_client; }

    /*! @brief Restarts a daemon with its settings; kills it first if it runs. */
    auto start_daemon(node& target) -> void;
    /*! @brief Restarts the backend server of a node at its address; kills it first if it runs. */
    auto start_backend_server(node& target) -> void;
    /*! @brief Sets the fault of a stand-in. @param json Members of the JSON object, without its braces. */
    auto set_fault(const net::endpoint& address, std::string_view json) -> void;

    /*! @brief Submits a ticket through an entry. @param number Ticket number; 0 lets the system assign one. */
    [[nodiscard]] auto submit_ticket(std::size_t entry, std::string_view manifest, std::string_view submission,
                                     std::uint64_t number = 0) -> call_result;
    /*! @brief Waits until all engines have loaded a version and every entry returns a completion from it. */
    [[nodiscard]] auto wait_until_serving(const offered_version& version) -> bool;
    /*! @brief Waits until a payment succeeds through every entry. */
    [[nodiscard]] auto wait_until_ledgers_serve() -> bool;

    /*! @brief Requests a streamed completion through an entry. */
    [[nodiscard]] auto generate(std::size_t entry, std::string_view prompt, std::size_t tokens)
        -> std::future<call_result>;
    /*! @brief Sends a payment through an entry. @param key Idempotency key; the reference if empty. */
    [[nodiscard]] auto send_payment(std::size_t entry, std::string_view reference, std::string_view key = {})
        -> std::future<call_result>;
    /*! @brief Sends a request of the ledgers that may be repeated through an entry. */
    [[nodiscard]] auto send_lookup(std::size_t entry) -> std::future<call_result>;
    /*! @brief Counts the executions of a payment by all ledgers, including those that have exited. */
    [[nodiscard]] auto count_executions(std::string_view reference) const -> std::size_t;

private:
    auto wait_healthy(const node& target) -> void;
    auto start_entries() -> void;
    auto start_agents(std::deque<node>& nodes, std::string_view group, std::size_t count) -> void;
    [[nodiscard]] auto start_standin(std::string_view name, const std::vector<std::string>& arguments)
        -> std::unique_ptr<child_process>;
    auto read_versions() -> void;

    cluster_options m_options{};
    temporary_directory m_directory{};
    threaded_http_client m_client{};
    std::string m_idempotency_key_time{};
    std::unique_ptr<child_process> m_platform{};
    std::unique_ptr<child_process> m_origin{};
    net::endpoint m_platform_address{};
    net::endpoint m_origin_address{};
    std::vector<offered_version> m_versions{};
    std::deque<node> m_entries{};
    std::deque<node> m_engines{};
    std::deque<node> m_ledgers{};
};

/*! @brief Parses a streamed completion and checks each of its tokens. @param tokens Expected number of tokens. */
[[nodiscard]] auto check_completion(const call_result& result, std::string_view prompt, std::size_t tokens)
    -> completion_check;

/*! @brief Returns the member `outcome` of the response body; empty if there is none. */
[[nodiscard]] auto outcome_of(const call_result& result) -> std::string;

} // namespace rhubarbwharf::process
