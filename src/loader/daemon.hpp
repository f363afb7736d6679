#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rhubarbwharf/loader/fwd.hpp>
#include <rhubarbwharf/loader/plan.hpp>
#include <rhubarbwharf/net/http.hpp>

#include <node/core.hpp>
#include <platform/decode.hpp>

namespace rhubarbwharf::loader {

/*! @brief Time between looks at the runner beside this process. */
inline constexpr duration report_interval = std::chrono::milliseconds{150};
/*! @brief Time between looks at what to fetch. */
inline constexpr duration fetch_interval = std::chrono::milliseconds{50};

/*! @brief What a model is at beside the runner. */
enum class load_phase : std::uint8_t {
    /*! @brief Nothing to do. */
    idle,
    /*! @brief Pieces are being fetched. */
    fetching,
    /*! @brief All pieces are staged; they are read back before the order. */
    verifying,
    /*! @brief The runner has been told to load them. */
    loading,
};

/*! @brief Piece that could not be checked yet. */
struct pending_piece {
    std::string m_bytes{};
    /*! @brief Loader that it came from; empty for the origin. */
    std::string m_source{};
};

/*! @brief How far the manifest of a version has been asked for. */
struct manifest_request {
    bool m_requested{false};
    unsigned m_attempts{};
};

/*! @brief One model of the service. */
struct model_state {
    std::string m_name{};
    std::uint64_t m_version{};
    time_point m_wanted_since{};
    load_phase m_phase{load_phase::idle};
    std::optional<adapter::manifest> m_manifest{};
    /*! @brief Manifest as it came, for other loaders. */
    std::string m_manifest_text{};
    /*! @brief Pieces that came before the manifest, by index. */
    std::map<std::size_t, pending_piece> m_pending_pieces{};
    manifest_request m_manifest_request{};
    /*! @brief Newer version that is wanted, while its manifest is asked for and this one is still fetched; 0 for none.
     */
    std::uint64_t m_next_version{};
    manifest_request m_next_manifest_request{};
    std::vector<piece_state> m_pieces{};
    /*! @brief Whether what lay staged at the start has been looked at. */
    bool m_staged_scanned{false};
    bool m_staged_scan_requested{false};
    /*! @brief Whether staged pieces were taken over without reading them. */
    bool m_staged_adopted{false};
    std::vector<peer> m_peers{};
    std::vector<relay> m_relays{};
    time_point m_last_peer_query{};
    unsigned m_active_origin_fetches{};
    /*! @brief Until when the origin is left alone after a failure. */
    time_point m_avoid_origin_until{};
    unsigned m_active_fetches{};
    /*! @brief Pieces that did not have their digest since the manifest came. */
    unsigned m_corrupt_pieces{};
    /*! @brief Version that the runner holds whole; 0 for none. */
    std::uint64_t m_held_version{};
    /*! @brief Whether it has been logged that all pieces are staged. */
    bool m_complete_logged{false};
    time_point m_load_ordered_at{};
};

/*! @brief All state of one loader; only its loop's thread touches it. */
struct daemon {
    daemon(const config::node_settings& settings, std::string file);

    std::string m_settings_file{};
    node::core m_core;
    net::http_server m_bulk_server;
    net::http_server m_metrics_server;
    net::endpoint m_runner{};

    std::map<std::string, model_state, std::less<>> m_models{};
    /*! @brief Time that the link takes for a piece, smoothed; zero until one has come. */
    duration m_piece_transfer_time{};
    time_point m_last_piece_received{};
    fleet::load_report m_report{};
    bool m_report_received{false};
    bool m_report_requested{false};
    bool m_runner_alive{false};
    time_point m_last_reported{};
    time_point m_last_announced{};
    std::string m_last_reported_load{};
};

/*! @brief Asks the runner for its report. @param self The loader. */
auto poll_runner(daemon& self) -> void;

/*! @brief Tells the gateways what the runner says. @param self The loader. @param at_once Whether unchanged news is
 * told as well. */
auto report_to_gateways(daemon& self, bool at_once) -> void;

/*! @brief Takes over which versions are wanted. @param self The loader. */
auto refresh_models(daemon& self) -> void;

/*! @brief Turns a model to another version, of which nothing is known yet. @param self The loader. @param model The
 * model. @param version The version. */
auto begin_version(daemon& self, model_state& model, std::uint64_t version) -> void;

/*! @brief Asks the origin and the other loaders by turns for a manifest, unless that goes on. @param self The loader.
 * @param model The model. @param version The version. @param question How far it has been asked for. */
auto request_manifest(daemon& self, const model_state& model, std::uint64_t version, manifest_request& question)
    -> void;

/*! @brief Does the next step for each model. @param self The loader. */
auto advance_models(daemon& self) -> void;

/*! @brief Begins fetches as far as there is room. @param self The loader. @param model The model. */
auto fetch_pieces(daemon& self, model_state& model) -> void;

/*! @brief Tells whether a version that is staged whole is loaded later, so that the runners of the region do not all
 * stop at once. @param self The loader. @param model The model. @return Whether it waits. */
[[nodiscard]] auto must_defer_load(daemon& self, const model_state& model) -> bool;

/*! @brief Reads all staged pieces back, then orders the load. @param self The loader. @param model The model. */
auto verify_and_order_load(daemon& self, model_state& model) -> void;

/*! @brief Takes the pieces that lie beside a runner which holds the wanted version for that version's, so that other
 * loaders can have them. @param self The loader. @param model The model. */
auto adopt_staged_pieces(daemon& self, model_state& model) -> void;

/*! @brief Reads which of the pieces staged earlier belong to the wanted version. @param self The loader.
 * @param model The model. */
auto scan_staged_pieces(daemon& self, model_state& model) -> void;

/*! @brief Answers other loaders. @param self The loader. @param incoming The request. @param answer Its answer. */
auto on_bulk_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void;

/*! @brief Returns the layers of the service's models. @param self The loader. @return The count; 1 if unknown. */
[[nodiscard]] auto layer_count(const daemon& self) -> unsigned;

/*! @brief Limits of a call to the runner on this machine. @return The limits. */
[[nodiscard]] auto runner_call_limits() -> net::call_limits;

/*! @brief Finds a model that is still wanted in a version. @param self The loader. @param name The model.
 * @param version The version. @return It, or null. */
[[nodiscard]] auto find_model(daemon& self, const std::string& name, std::uint64_t version) -> model_state*;

} // namespace rhubarbwharf::loader
