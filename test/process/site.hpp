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

/*! @brief What a site is made of; all of it listens on the loopback interface. */
struct cluster_options {
    std::size_t m_entry_count{2};
    std::size_t m_engine_count{2};
    std::size_t m_ledger_count{1};
    std::string m_weight_versions{"chef:1:2000000,chef:2:2000000"};
    std::string m_token_ms{"5"};
    std::string m_work_ms{"2"};
    bool m_ignore_fencing{};
    std::uint32_t m_lease_s{2};
    std::uint32_t m_shard_count{4};
    std::uint32_t m_entries_ttl_ms{1'000};
};

/*! @brief One daemon, with the backend server beside it if it is an agent. */
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

/*! @brief A version that the origin offers. */
struct offered_version {
    std::string m_manifest{};
    std::string m_fingerprint{};
};

/*! @brief What a caller can tell of a generated answer. */
struct completion_check {
    /*! @brief Whether it has all tokens of one version, each as it should be, and its end mark. */
    bool m_complete{};
    /*! @brief Whether it ended without an error that its caller can see. */
    bool m_reported_complete{};
    /*! @brief Whether it has its end mark. */
    bool m_has_end_marker{};
    /*! @brief Whether tokens of two versions, or of another request, are in it. */
    bool m_mixed{};
    std::size_t m_token_count{};
    std::string m_fingerprint{};
};

/*! @brief The whole system with its stand-ins, as processes of their own. */
class test_cluster {
public:
    explicit test_cluster(cluster_options set = {});

    [[nodiscard]] auto entries() noexcept -> std::deque<node>& { return m_entries; }

    [[nodiscard]] auto engines() noexcept -> std::deque<node>& { return m_engines; }

    [[nodiscard]] auto ledgers() noexcept -> std::deque<node>& { return m_ledgers; }

    [[nodiscard]] auto platform_address() const -> const net::endpoint& { return m_platform_address; }

    [[nodiscard]] auto origin_address() const -> const net::endpoint& { return m_origin_address; }

    [[nodiscard]] auto versions() const -> const std::vector<offered_version>& { return m_versions; }

    [[nodiscard]] auto client() noexcept -> threaded_http_client& { return m_client; }

    /*! @brief Starts a daemon anew with the settings it had. */
    auto start_daemon(node& which) -> void;
    /*! @brief Starts the backend server of a node anew at the address it had. */
    auto start_backend_server(node& which) -> void;
    /*! @brief Sets a fault. @param json The members besides the braces. */
    auto set_fault(const net::endpoint& where, std::string_view json) -> void;

    [[nodiscard]] auto submit_ticket(std::size_t entry, std::string_view manifest, std::string_view submission,
                                     std::uint64_t number = 0) -> call_result;
    /*! @brief Waits until all engines hold a version and an answer of it comes through every entry. */
    [[nodiscard]] auto wait_until_serving(const offered_version& version) -> bool;
    /*! @brief Waits until a payment goes through every entry. */
    [[nodiscard]] auto wait_until_ledgers_serve() -> bool;

    [[nodiscard]] auto generate(std::size_t entry, std::string_view prompt, std::size_t tokens)
        -> std::future<call_result>;
    [[nodiscard]] auto send_payment(std::size_t entry, std::string_view reference, std::string_view key = {})
        -> std::future<call_result>;
    /*! @brief Counts the runs of a payment over all ledgers, also those that ended. */
    [[nodiscard]] auto count_executions(std::string_view reference) const -> std::size_t;

private:
    auto wait_healthy(const node& which) -> void;
    auto start_entries() -> void;
    auto start_agents(std::deque<node>& nodes, std::string_view group, std::size_t count) -> void;
    [[nodiscard]] auto start_standin(std::string_view name, const std::vector<std::string>& words)
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

/*! @brief Reads a streamed answer as a caller would, and checks each token. */
[[nodiscard]] auto check_completion(const call_result& got, std::string_view prompt, std::size_t tokens)
    -> completion_check;

/*! @brief Returns the member `outcome` of a refusal, or nothing. */
[[nodiscard]] auto outcome_of(const call_result& got) -> std::string;

} // namespace rhubarbwharf::process
