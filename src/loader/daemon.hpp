#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/loader/fwd.hpp>
#include <rhubarbwharf/loader/order.hpp>
#include <rhubarbwharf/loader/plan.hpp>
#include <rhubarbwharf/loader/proof.hpp>
#include <rhubarbwharf/net/http.hpp>

#include <node/core.hpp>
#include <platform/decode.hpp>

namespace rhubarbwharf::loader {

/*! @brief Interval at which the runner next to this process is polled. */
inline constexpr duration report_interval = std::chrono::milliseconds{150};
/*! @brief Interval at which the next fetches and loads are planned. */
inline constexpr duration fetch_interval = std::chrono::milliseconds{50};

/*! @brief Progress of a model towards the wanted version. */
enum class load_phase : std::uint8_t {
    /*! @brief Nothing to do: the runner holds the wanted version, or has not been polled yet. */
    idle,
    /*! @brief Pieces are being fetched. */
    fetching,
    /*! @brief All pieces are staged and are read back before the load is ordered. */
    verifying,
    /*! @brief The runner has been ordered to load the staged pieces. */
    loading,
    /*! @brief The runner holds the wanted version, but may have loaded it from corrupt pieces: those without proof are
     * read back. No piece is staged meanwhile, as a replaced piece would seem to have been intact. */
    proving,
    /*! @brief The runner has been ordered to give up layers that may be corrupt. */
    discarding,
};

/*! @brief Piece received before the manifest that holds its digest. */
struct pending_piece {
    std::string m_bytes{};
    /*! @brief Instance that sent it; empty for the origin. */
    std::string m_source{};
};

/*! @brief State of the request for a version's manifest. */
struct manifest_request {
    /*! @brief Whether a request is in progress, the next attempt is delayed, or the manifest has arrived; no request is
     * started then. */
    bool m_requested{false};
    unsigned m_attempts{};
};

/*! @brief State of one model of the service. */
struct model_state {
    std::string m_name{};
    std::uint64_t m_version{};
    time_point m_wanted_since{};
    load_phase m_phase{load_phase::idle};
    std::optional<adapter::manifest> m_manifest{};
    /*! @brief Manifest as received, to be served to other loaders. */
    std::string m_manifest_text{};
    /*! @brief Pieces received before the manifest, by index. */
    std::map<std::size_t, pending_piece> m_pending_pieces{};
    manifest_request m_manifest_request{};
    /*! @brief Newer wanted version whose manifest is requested while this version is still being fetched; 0 for none.
     */
    std::uint64_t m_next_version{};
    manifest_request m_next_manifest_request{};
    /*! @brief Manifest of the version before this one, to recognize the pieces that an earlier process staged. */
    std::optional<adapter::manifest> m_previous_manifest{};
    std::string m_previous_manifest_text{};
    manifest_request m_previous_manifest_request{};
    std::vector<piece_state> m_pieces{};
    /*! @brief What this process has seen of each staged piece, by index; see `evidence_of`. */
    std::vector<piece_evidence> m_evidence{};
    /*! @brief Whether pieces are being read to prove a load. */
    bool m_proof_requested{false};
    /*! @brief Time from which a read that was not answered, or an order to give up layers, is repeated. */
    time_point m_prove_after{};
    /*! @brief Orders that the runner had accepted when the load was ordered; none if this process has not ordered it.
     */
    std::optional<std::uint64_t> m_orders_before_load{};
    /*! @brief When the runner accepted the load; none if it is not known to have done so. */
    std::optional<acceptance_window> m_load_accepted{};
    /*! @brief Whether the load can't be proven, and no order makes the runner give its layers up. */
    bool m_unprovable{false};
    /*! @brief Digests of the pieces that were found staged, by index; none for a piece that was not staged. */
    std::vector<std::optional<digest>> m_staged_digests{};
    /*! @brief What was last found out of inherited orders; none before. */
    std::optional<inherited_order> m_judged_order{};
    /*! @brief Whether the pieces staged earlier have been checked against the manifest, or there are none. */
    bool m_staged_scanned{false};
    bool m_staged_scan_requested{false};
    /*! @brief Whether staged pieces have been counted as held without reading them, or must not be. */
    bool m_staged_adopted{false};
    std::vector<peer> m_peers{};
    std::vector<relay> m_relays{};
    time_point m_last_peer_query{};
    unsigned m_active_origin_fetches{};
    /*! @brief Time from which the origin may be used again after a failure. */
    time_point m_avoid_origin_until{};
    unsigned m_active_fetches{};
    /*! @brief Pieces received with a wrong digest since the manifest arrived. */
    unsigned m_corrupt_pieces{};
    /*! @brief Version that the runner holds completely; 0 for none. */
    std::uint64_t m_held_version{};
    /*! @brief Whether the event that all pieces are staged has been logged. */
    bool m_complete_logged{false};
    time_point m_load_ordered_at{};
    /*! @brief Times that the staged pieces were read back since the last order. */
    unsigned m_verifications{};
    /*! @brief Orders that the runner may still accept; no newer version begins before they are answered. */
    open_orders m_open_orders{};
};

/*! @brief Version of a model that one incarnation of the runner has loaded from intact pieces. */
struct proven_version {
    /*! @brief Start of the incarnation, Unix ms. */
    std::uint64_t m_started_ms{};
    std::uint64_t m_version{};
};

/*! @brief State of a loader; accessed only on the loop's thread. */
struct daemon {
    daemon(const config::node_settings& settings, std::string file);

    std::string m_settings_file{};
    node::core m_core;
    net::http_server m_bulk_server;
    net::http_server m_metrics_server;
    net::endpoint m_runner{};

    std::map<std::string, model_state, std::less<>> m_models{};
    /*! @brief Smoothed time that the link takes for a piece; zero until one has been received. */
    duration m_piece_transfer_time{};
    time_point m_last_piece_received{};
    /*! @brief Smoothed time that the runner takes to return a staged piece; zero until it has returned one. */
    duration m_staged_read_time{};
    /*! @brief Staged pieces that are read at once, at most; see `adjust_read_limit`. */
    unsigned m_max_concurrent_reads{max_concurrent_reads};
    fleet::load_report m_report{};
    /*! @brief Orders that the runner has accepted, and when. */
    acceptance_record m_acceptance{};
    /*! @brief Last version of each model that the runner is known to have loaded from intact pieces. */
    std::map<std::string, proven_version, std::less<>> m_proven{};
    bool m_report_received{false};
    bool m_report_requested{false};
    bool m_runner_alive{false};
    /*! @brief Until when the runner wants no call. */
    time_point m_runner_paused_until{};
    time_point m_last_reported{};
    /*! @brief When the own member entry was last sent to the gateways. */
    time_point m_last_announced{};
    /*! @brief Serialized load that was last sent to the gateways. */
    std::string m_last_reported_load{};
};

/*! @brief Tells whether the runner's present incarnation is leaving, by its own word or a gateway's. */
[[nodiscard]] auto is_runner_leaving(const daemon& self) noexcept -> bool;

/*! @brief Requests the load report of the runner, unless a request is in progress. */
auto poll_runner(daemon& self) -> void;

/*! @brief Sends the runner's load to the gateways of the region; to all in a small fleet, or if none of them lives.
 * @param force Whether to send it even if it has not changed. */
auto report_to_gateways(daemon& self, bool force) -> void;

/*! @brief Updates the wanted version of each model from the configuration and the weights targets. */
auto refresh_models(daemon& self) -> void;

/*! @brief Resets a model to another version, of which no piece or manifest is known yet. */
auto begin_version(daemon& self, model_state& model, std::uint64_t version) -> void;

/*! @brief Requests a manifest from the gateways, the origin and the other loaders in turn. Does nothing while a request
 * is in progress. */
auto request_manifest(daemon& self, const model_state& model, std::uint64_t version, manifest_request& pending) -> void;

/*! @brief Takes the next step of each model: fetch, verify or order the load. */
auto advance_models(daemon& self) -> void;

/*! @brief Starts piece fetches up to the limit of the link. */
auto fetch_pieces(daemon& self, model_state& model) -> void;

/*! @brief Checks whether the load of a completely staged version has to wait, so that the runners of the region do not
 * all stop at once. */
[[nodiscard]] auto must_defer_load(daemon& self, const model_state& model) -> bool;

/*! @brief Returns what is known of a staged piece; adds a row without knowledge if there is none. */
[[nodiscard]] auto evidence_of(model_state& model, std::size_t piece) -> piece_evidence&;

/*! @brief Checks whether the runner's present incarnation has loaded a version from intact pieces, or held it before
 * any order. */
[[nodiscard]] auto is_proven(const daemon& self, std::string_view model, std::uint64_t version) -> bool;

/*! @brief Checks whether the runner has accepted the load of the wanted version, which is not proven yet but can be. */
[[nodiscard]] auto awaits_proof(const daemon& self, const model_state& model) -> bool;

/*! @brief Takes the next step of the proof of a load that the runner has accepted: reads pieces, reports the version as
 * held, or orders the runner to give up doubtful layers. Does nothing if no load awaits its proof. */
auto prove_load(daemon& self, model_state& model) -> void;

/*! @brief Reads all staged pieces back, then orders the load if all are intact. */
auto verify_and_order_load(daemon& self, model_state& model) -> void;

/*! @brief Counts the pieces staged at a runner that already holds the wanted version as pieces of that version, so that
 * other loaders can fetch them. */
auto adopt_staged_pieces(daemon& self, model_state& model) -> void;

/*! @brief Finds the pieces staged earlier that belong to the wanted version. */
auto scan_staged_pieces(daemon& self, model_state& model) -> void;

/*! @brief Serves piece states, manifests and pieces to other loaders. */
auto on_bulk_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void;

/*! @brief Assumes orders of an earlier process for a model. Does nothing before the runner's first report. */
auto assume_inherited_orders(daemon& self, model_state& model) -> void;

/*! @brief Finds out from the staged pieces whether an earlier process may have ordered a load that the runner has not
 * accepted, and for which version. That version is loaded first: the runner loads what is staged when it accepts the
 * order, so no other version's piece may be staged until it has accepted an order or can't any more. */
auto check_inherited_orders(daemon& self, model_state& model) -> void;

/*! @brief Returns the number of layers of the service's models. @return 1 if unknown. */
[[nodiscard]] auto layer_count(const daemon& self) -> unsigned;

/*! @brief Returns the limits of a call to the runner on this machine. */
[[nodiscard]] auto runner_call_limits() -> net::call_limits;

/*! @brief Finds a model by name. @return Null if the model is unknown or another version is wanted by now. */
[[nodiscard]] auto find_model(daemon& self, const std::string& name, std::uint64_t version) -> model_state*;

} // namespace rhubarbwharf::loader
