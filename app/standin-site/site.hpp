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

/*! @brief Size of a site. */
struct site_options {
    std::size_t m_runner_count{3};
    std::size_t m_ledger_count{2};
    std::size_t m_piece_count{16};
};

/*! @brief Names that a site gives to what callers use. */
inline constexpr std::string_view host_name = "site.example";
inline constexpr std::string_view model_name = "model";
inline constexpr std::string_view model_path = "/model/";
inline constexpr std::string_view ledger_path = "/ledger/";
inline constexpr std::string_view lookup_path = "/lookup/";

/*! @brief What goes wrong at the origin of weights. */
struct origin_faults {
    /*! @brief Newest version that it gives; it answers 503 for those after it. */
    std::uint64_t m_newest_version{std::numeric_limits<std::uint64_t>::max()};
    /*! @brief Time that it takes for a piece. */
    duration m_piece_delay{};
};

/**
 * @brief A whole site on a thread of its own: store, origin, runners and ledgers.
 *
 * Everything but `call` belongs to that thread.
 */
class site {
public:
    explicit site(site_options options);
    ~site();
    site(const site&) = delete;
    site(site&&) = delete;
    auto operator=(const site&) -> site& = delete;
    auto operator=(site&&) -> site& = delete;

    /*! @brief Runs a task on the site's thread and waits for it. @param task The task. */
    auto run_in_loop(const std::function<void(site&)>& task) -> void;

    /*! @brief Writes a configuration with the next version. @param timeout_ms Time limit of the routes.
     * @param extra_routes Routes that nothing uses. @return The version. */
    auto write_configuration(unsigned timeout_ms, unsigned extra_routes) -> std::uint64_t;

    /*! @brief Names a version of the weights. @param version The version. */
    auto set_weights_version(std::uint64_t version) -> void;

    /*! @brief Sets what goes wrong at the origin. @param faults It. */
    auto set_origin_faults(const origin_faults& faults) -> void { m_origin_faults = faults; }

    /*! @brief Replaces a server by a new incarnation at a new address. @param index Index of the server. */
    auto restart_server(std::size_t index) -> void;

    [[nodiscard]] auto store_address() const -> net::endpoint { return m_store_address; }

    [[nodiscard]] auto servers() -> std::vector<std::unique_ptr<server>>& { return m_servers; }

    [[nodiscard]] auto observations() -> site_observations& { return m_observations; }

    [[nodiscard]] auto key_value_store() -> store& { return *m_store; }

    [[nodiscard]] auto options() const noexcept -> const site_options& { return m_options; }

private:
    auto make_server(std::size_t index, bool is_fresh) -> std::unique_ptr<server>;
    auto on_origin(const net::http_request& request, const std::shared_ptr<net::responder>& to) -> void;

    site_options m_options{};
    net::loop m_loop{};
    site_observations m_observations{};
    std::unique_ptr<store> m_store{};
    std::unique_ptr<net::http_server> m_origin{};
    std::vector<std::unique_ptr<server>> m_servers{};
    net::endpoint m_store_address{};
    std::uint64_t m_configuration_version{};
    std::uint64_t m_weights_version{1U};
    unsigned m_incarnation_count{};
    origin_faults m_origin_faults{};
    std::thread m_thread{};
};

} // namespace rhubarbwharf::standin_site
