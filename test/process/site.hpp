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
struct site_options {
    std::size_t m_entries{2};
    std::size_t m_engines{2};
    std::size_t m_ledgers{1};
    std::string m_versions{"chef:1:2000000,chef:2:2000000"};
    std::string m_token_ms{"5"};
    std::string m_work_ms{"2"};
    bool m_ignore_fencing{};
    std::uint32_t m_lease_s{2};
    std::uint32_t m_shards{4};
    std::uint32_t m_entries_ttl_ms{1'000};
};

/*! @brief One daemon, with the backend server beside it if it is an agent. */
struct node {
    std::string m_name{};
    std::string m_settings{};
    net::endpoint m_callers{};
    net::endpoint m_admin{};
    net::endpoint m_bus{};
    net::endpoint m_backend{};
    std::vector<std::string> m_backend_words{};
    std::unique_ptr<child> m_daemon{};
    std::unique_ptr<child> m_server{};
};

/*! @brief A version that the origin offers. */
struct offered_version {
    std::string m_manifest{};
    std::string m_fingerprint{};
};

/*! @brief What a caller can tell of a generated answer. */
struct generated {
    /*! @brief Whether it has all tokens of one version, each as it should be, and its end mark. */
    bool m_whole{};
    /*! @brief Whether it ended without an error that its caller can see. */
    bool m_shown_complete{};
    /*! @brief Whether it has its end mark. */
    bool m_done{};
    /*! @brief Whether tokens of two versions, or of another request, are in it. */
    bool m_mixed{};
    std::size_t m_tokens{};
    std::string m_fingerprint{};
};

/*! @brief The whole system with its stand-ins, as processes of their own. */
class site {
public:
    explicit site(site_options set = {});

    [[nodiscard]] auto entries() noexcept -> std::deque<node>& { return m_entries; }

    [[nodiscard]] auto engines() noexcept -> std::deque<node>& { return m_engines; }

    [[nodiscard]] auto ledgers() noexcept -> std::deque<node>& { return m_ledgers; }

    [[nodiscard]] auto platform() const -> const net::endpoint& { return m_platform_at; }

    [[nodiscard]] auto origin() const -> const net::endpoint& { return m_origin_at; }

    [[nodiscard]] auto versions() const -> const std::vector<offered_version>& { return m_versions; }

    [[nodiscard]] auto http() noexcept -> caller& { return m_caller; }

    /*! @brief Starts a daemon anew with the settings it had. */
    auto start(node& which) -> void;
    /*! @brief Starts the backend server of a node anew at the address it had. */
    auto start_server(node& which) -> void;
    /*! @brief Sets a fault. @param json The members besides the braces. */
    auto set_fault(const net::endpoint& where, std::string_view json) -> void;

    [[nodiscard]] auto submit(std::size_t entry, std::string_view manifest, std::string_view submission,
                              std::uint64_t number = 0) -> answer;
    /*! @brief Waits until all engines hold a version and an answer of it comes through every entry. */
    [[nodiscard]] auto wait_serving(const offered_version& version) -> bool;
    /*! @brief Waits until a payment goes through every entry. */
    [[nodiscard]] auto wait_ledger() -> bool;

    [[nodiscard]] auto generate(std::size_t entry, std::string_view prompt, std::size_t tokens) -> std::future<answer>;
    [[nodiscard]] auto pay(std::size_t entry, std::string_view reference, std::string_view key = {})
        -> std::future<answer>;
    /*! @brief Counts the runs of a payment over all ledgers, also those that ended. */
    [[nodiscard]] auto runs(std::string_view reference) const -> std::size_t;

private:
    auto wait_healthy(const node& which) -> void;
    auto make_entries() -> void;
    auto make_agents(std::deque<node>& nodes, std::string_view group, std::size_t count) -> void;
    [[nodiscard]] auto standin(std::string_view name, const std::vector<std::string>& words) -> std::unique_ptr<child>;
    auto read_versions() -> void;

    site_options m_set{};
    folder m_folder{};
    caller m_caller{};
    std::string m_key_time{};
    std::unique_ptr<child> m_platform{};
    std::unique_ptr<child> m_origin{};
    net::endpoint m_platform_at{};
    net::endpoint m_origin_at{};
    std::vector<offered_version> m_versions{};
    std::deque<node> m_entries{};
    std::deque<node> m_engines{};
    std::deque<node> m_ledgers{};
};

/*! @brief Reads a streamed answer as a caller would, and checks each token. */
[[nodiscard]] auto read_generated(const answer& got, std::string_view prompt, std::size_t tokens) -> generated;

/*! @brief Returns the member `outcome` of a refusal, or nothing. */
[[nodiscard]] auto outcome_of(const answer& got) -> std::string;

} // namespace rhubarbwharf::process
