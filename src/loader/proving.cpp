#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/read_back.hpp>
#include <loader/transfer.hpp>
#include <node/boot_clock.hpp>
#include <platform/encode.hpp>

namespace rhubarbwharf::loader {

namespace internal {

namespace {

/*! @brief Delay before a read that the runner did not answer is repeated. */
constexpr duration proof_retry_delay = std::chrono::milliseconds{200};
/*! @brief Delay before an order to give up layers is repeated: longer than the call takes. */
constexpr duration discard_retry_delay = std::chrono::seconds{2};

auto note_proof(daemon& self, const model_state& model) -> void {
    self.m_proven.insert_or_assign(model.m_name, proven_version{self.m_report.m_started_ms, model.m_version});
    self.m_core.m_events.write("load.proven", {{"model", model.m_name},
                                               {"version", static_cast<std::int64_t>(model.m_version)},
                                               {"orders", static_cast<std::int64_t>(self.m_report.m_accepted_orders)}});
    report_to_gateways(self, false);
}

auto read_unproven_pieces(daemon& self, model_state& model, std::vector<std::size_t> pieces) -> void {
    model.m_proof_requested = true;
    self.m_core.m_counters.add("proof_reads_total", static_cast<double>(pieces.size()));
    read_back_pieces(self, model, std::move(pieces), 0U,
                     [&self, name = model.m_name, version = model.m_version](const staged_pieces& read) {
                         auto* const current = find_model(self, name, version);
                         if (current == nullptr) {
                             return;
                         }
                         current->m_proof_requested = false;
                         if (read.m_interrupted) {
                             current->m_prove_after = steady_now() + proof_retry_delay;
                         }
                         prove_load(self, *current);
                     });
}

/*! @brief Orders the runner to give up its layers, so that it can load them again. */
auto discard_layers(daemon& self, model_state& model, const std::vector<std::size_t>& doubtful) -> void {
    const auto range = choose_discard(model.m_version, layer_count(self), model.m_evidence.size(), doubtful);
    model.m_prove_after = steady_now() + discard_retry_delay;
    self.m_core.m_events.write("load.doubtful", {{"model", model.m_name},
                                                 {"version", static_cast<std::int64_t>(model.m_version)},
                                                 {"pieces", static_cast<std::int64_t>(doubtful.size())},
                                                 {"first", static_cast<std::int64_t>(doubtful.front())},
                                                 {"discards", range.has_value()}});
    self.m_core.m_counters.add("loads_doubtful_total");
    if (!range) {
        model.m_unprovable = true;
        return;
    }
    model.m_phase = load_phase::discarding;
    for (const auto piece : doubtful) {
        if (piece < model.m_pieces.size()) {
            model.m_pieces[piece] = piece_state::missing;
        }
    }
    const adapter::load_order order{model.m_name, range->m_version, self.m_report.m_accepted_orders,
                                    adapter::layer_bounds{range->m_first, range->m_end}};
    self.m_core.m_http.fetch(self.m_runner, adapter::encode_load_order(order), runner_call_limits(),
                             [&self, name = model.m_name](const net::call_end&, const net::http_response& response) {
                                 self.m_core.m_events.write(
                                     "load.discard_answered",
                                     {{"model", name}, {"status", static_cast<std::int64_t>(response.m_status)}});
                             });
}

} // namespace

} // namespace internal

auto evidence_of(model_state& model, const std::size_t piece) -> piece_evidence& {
    if (piece >= model.m_evidence.size()) {
        model.m_evidence.resize(std::max(piece + 1U, model.m_pieces.size()));
    }
    return model.m_evidence[piece];
}

auto is_proven(const daemon& self, const std::string_view model, const std::uint64_t version) -> bool {
    const auto found = self.m_proven.find(model);
    return found != self.m_proven.end() && found->second.m_started_ms == self.m_report.m_started_ms &&
           found->second.m_version == version;
}

auto awaits_proof(const daemon& self, const model_state& model) -> bool {
    const auto is_accepted = model.m_orders_before_load
                                 ? self.m_acceptance.m_accepted_orders > *model.m_orders_before_load
                                 : model.m_phase == load_phase::proving && self.m_acceptance.m_last.has_value();
    const auto is_phase = model.m_phase == load_phase::proving || model.m_phase == load_phase::loading;
    return is_accepted && is_phase && !model.m_unprovable && !is_proven(self, model.m_name, model.m_version);
}

auto prove_load(daemon& self, model_state& model) -> void {
    if (!awaits_proof(self, model) || model.m_proof_requested || steady_now() < model.m_prove_after) {
        return;
    }
    if (!model.m_manifest) {
        internal::refresh_sources(self, model, steady_now());
        request_manifest(self, model, model.m_version, model.m_manifest_request);
        return;
    }
    // The check of inherited orders reads the pieces as well.
    if (model.m_open_orders.m_is_inherited && !model.m_staged_scanned) {
        return;
    }
    if (!model.m_load_accepted) {
        model.m_load_accepted = self.m_acceptance.m_last;
        if (!model.m_orders_before_load) {
            // An earlier process has ordered the load, at a time that is not known.
            model.m_load_accepted->m_earliest = {};
        }
    }
    model.m_evidence.resize(model.m_manifest->m_digests.size());
    auto judged = judge_load(model.m_evidence, *model.m_load_accepted);
    if (judged.is_proven()) {
        internal::note_proof(self, model);
        return;
    }
    if (judged.m_doubtful.empty()) {
        internal::read_unproven_pieces(self, model, std::move(judged.m_unread));
        return;
    }
    if (model.m_phase == load_phase::proving && !self.m_report.m_order_in_progress) {
        internal::discard_layers(self, model, judged.m_doubtful);
    }
}

} // namespace rhubarbwharf::loader
