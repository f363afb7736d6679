#pragma once

#include <atomic>
#include <future>
#include <limits>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "runner.hpp"

namespace rhubarbwharf::standin_site {

/*! @brief Sizes of a site. */
struct site_options {
    std::size_t m_runner_count{3};
    std::size_t m_ledger_count{2};
    /*! @brief Regions with one data centre each; servers stand in them in turn. */
    std::size_t m_region_count{1};
    /*! @brief Pieces of each version of the weights. */
    std::size_t m_piece_count{16};
    /*! @brief Whether servers send parts of their output, as in `server_options::m_split_output`. */
    bool m_split_output{false};
};

/*! @brief Host, model and path prefixes that callers of a site use. */
inline constexpr std::string_view host_name = "site.example";
inline constexpr std::string_view model_name = "model";
inline constexpr std::string_view model_path = "/model/";
inline constexpr std::string_view ledger_path = "/ledger/";
inline constexpr std::string_view lookup_path = "/lookup/";

/*! @brief Time for which a runner is cold after it was restarted, if the configuration says that runners start cold. */
inline constexpr duration cold_time = std::chrono::seconds{3};

/*! @brief Returns the data centre, and its region, by the index of a server or gateway. */
[[nodiscard]] auto data_centre_name(std::size_t index, std::size_t region_count) -> std::string;
[[nodiscard]] auto region_name(std::size_t index, std::size_t region_count) -> std::string;

/*! @brief Faults that the origin of weights injects. */
struct origin_faults {
    /*! @brief Newest available version; requests for later versions get 503. */
    std::uint64_t m_newest_version{std::numeric_limits<std::uint64_t>::max()};
    /*! @brief Delay before the response to a request for a piece. */
    duration m_piece_delay{};
    /*! @brief Sends a body without an end in each response. */
    bool m_endless{false};
};

/*! @brief Properties of one version of the configuration. */
struct configuration_options {
    /*! @brief Timeout of the routes in milliseconds. */
    unsigned m_timeout_ms{4'000U};
    /*! @brief Number of additional routes, with the paths `/extra/0/`, `/extra/1/` and so on. */
    unsigned m_extra_routes{};
    /*! @brief Time that gateways keep an idle connection of a caller, in milliseconds. */
    unsigned m_idle_timeout_ms{15'000U};
    /*! @brief Address of another origin of weights; the site's own if empty. */
    std::string m_origin_address{};
    /*! @brief Longest body of a request that gateways accept. */
    std::size_t m_max_body_bytes{65'536U};
    /*! @brief Regions in which requests for answers of the model may be served; all if empty. */
    std::vector<std::string> m_model_regions{};
    /*! @brief Regions of the organisation `org-a`; all if empty. */
    std::vector<std::string> m_organisation_regions{};
    /*! @brief Requests a second that a cold runner takes; 0 if runners do not start cold. */
    double m_cold_per_s{};
};

/**
 * @brief Complete stand-in platform on its own thread: store, origin, runners and ledgers.
 *
 * While it runs, only `run_in_loop` and `store_address` may be called from other threads.
 */
class site {
public:
    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site(site&&) = delete;
    auto operator=(const site&) -> site& = delete;
    auto operator=(site&&) -> site& = delete;

    /*! @brief Runs a task on the thread of the site and blocks until it has finished. */
    auto run_in_loop(const std::function<void(site&)>& task) -> void;

    /*! @brief Writes the next version of the configuration to the store. @return The version. */
    auto write_configuration(const configuration_options& options) -> std::uint64_t;

    /*! @brief Publishes the version of the weights that all runners are to serve. */
    auto set_weights_version(std::uint64_t version) -> void;

    /*! @brief Asks the system to send nothing to the servers of a data centre, or takes it back. */
    auto set_evacuated(const std::string& data_centre, bool is_evacuated) -> void;

    /*! @brief Replaces the faults of the origin. */
    auto set_origin_faults(const origin_faults& faults) -> void { m_origin_faults = faults; }

    /*! @brief Returns the most bytes of a body without an end that a caller of the origin has taken. */
    [[nodiscard]] auto most_endless_bytes() const noexcept -> std::size_t { return m_most_endless_bytes; }

    /*! @brief Replaces a server by one at the same address with a new id and without weights. */
    auto restart_server(std::size_t index) -> void;

    [[nodiscard]] auto store_address() const -> net::endpoint { return m_store_address; }

    [[nodiscard]] auto servers() -> std::vector<std::unique_ptr<server>>& { return m_servers; }

    [[nodiscard]] auto observations() -> site_observations& { return m_observations; }

    [[nodiscard]] auto key_value_store() -> store& { return *m_store; }

    /*! @brief Returns the loop of the site, for further servers of a test. */
    [[nodiscard]] auto loop() noexcept -> net::loop& { return m_loop; }

    [[nodiscard]] auto options() const noexcept -> const site_options& { return m_options; }

private:
    auto make_server(std::size_t index, bool is_restart) -> std::unique_ptr<server>;
    /*! @brief Continues a body without an end; stops, but leaves it open, after 128 MiB. */
    auto send_endless(const std::shared_ptr<net::responder>& responder, const std::shared_ptr<bool>& left,
                      std::size_t sent_bytes) -> void;
    auto on_origin(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void;

    site_options m_options{};
    net::loop m_loop{};
    site_observations m_observations{};
    std::unique_ptr<store> m_store{};
    std::unique_ptr<net::http_server> m_origin{};
    std::vector<std::unique_ptr<server>> m_servers{};
    net::endpoint m_store_address{};
    std::uint64_t m_configuration_version{};
    bool m_runners_start_cold{false};
    std::uint64_t m_weights_version{1U};
    unsigned m_incarnation_count{};
    origin_faults m_origin_faults{};
    std::size_t m_most_endless_bytes{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::standin_site
