#include <algorithm>
#include <functional>
#include <numeric>

#include <loader/daemon.hpp>
#include <loader/read_back.hpp>
#include <loader/transfer.hpp>
#include <node/boot_clock.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::loader {

namespace internal {

namespace {

auto order_load(daemon& self, model_state& model) -> void {
    model.m_phase = load_phase::loading;
    model.m_verifications = 0U;
    model.m_load_ordered_at = steady_now();
    model.m_orders_before_load = self.m_report.m_accepted_orders;
    model.m_load_accepted.reset();
    model.m_unprovable = false;
    self.m_report.m_order_in_progress = true;
    report_to_gateways(self, true);
    self.m_core.m_events.write("load.ordered",
                               {{"model", model.m_name},
                                {"version", static_cast<std::int64_t>(model.m_version)},
                                {"orders", static_cast<std::int64_t>(self.m_report.m_accepted_orders)}});
    const adapter::load_order order{model.m_name, model.m_version, self.m_report.m_accepted_orders};
    record_order(model.m_open_orders, self.m_report.m_started_ms, self.m_report.m_accepted_orders);
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_load_order(order), runner_call_limits(),
        [&self, name = model.m_name, version = model.m_version, started_ms = self.m_report.m_started_ms,
         expected_orders = self.m_report.m_accepted_orders,
         sent_at = node::boot_now()](const net::call_end& end, const net::http_response& response) {
            self.m_core.m_events.write("load.answered", {{"model", name},
                                                         {"version", static_cast<std::int64_t>(version)},
                                                         {"status", static_cast<std::int64_t>(response.m_status)}});
            constexpr std::uint16_t accepted = 202U;
            auto* const current = find_model(self, name, version);
            if (current == nullptr) {
                return;
            }
            const auto is_accepted = response.m_status == accepted || response.m_status == status_ok;
            if (response.m_status == accepted) {
                record_acceptance(self.m_acceptance, started_ms, expected_orders + 1U, {sent_at, node::boot_now()});
            }
            const auto is_unanswered = response.m_status == 0U && end.m_sent == net::sent::some;
            const auto rejected = is_unanswered ? order_end::unanswered : order_end::refused;
            record_order_end(current->m_open_orders, started_ms, is_accepted ? order_end::accepted : rejected);
            if (response.m_status != 0U && !is_accepted) {
                current->m_phase = load_phase::fetching;
            }
            prove_load(self, *current);
        });
}

} // namespace

} // namespace internal

auto adopt_staged_pieces(daemon& self, model_state& model) -> void {
    self.m_core.m_http.fetch(self.m_runner, adapter::encode_stage_get(model.m_name, std::nullopt), runner_call_limits(),
                             [&self, name = model.m_name,
                              version = model.m_version](const net::call_end&, const net::http_response& response) {
                                 auto* const current = find_model(self, name, version);
                                 if (current == nullptr || current->m_phase != load_phase::idle) {
                                     return;
                                 }
                                 for (const auto piece : adapter::decode_staged_pieces(response.m_body)) {
                                     if (piece < current->m_pieces.size()) {
                                         current->m_pieces[piece] = piece_state::held;
                                     }
                                 }
                             });
}

auto scan_staged_pieces(daemon& self, model_state& model) -> void {
    self.m_core.m_http.fetch(self.m_runner, adapter::encode_stage_get(model.m_name, std::nullopt), runner_call_limits(),
                             [&self, name = model.m_name,
                              version = model.m_version](const net::call_end& end, const net::http_response& response) {
                                 auto* const current = find_model(self, name, version);
                                 if (current == nullptr) {
                                     return;
                                 }
                                 if (internal::is_unanswered(end, response)) {
                                     current->m_staged_scan_requested = false;
                                     return;
                                 }
                                 const auto may_inherit = current->m_open_orders.m_is_inherited;
                                 internal::read_back_pieces(
                                     self, *current, adapter::decode_staged_pieces(response.m_body),
                                     may_inherit ? current->m_pieces.size() : 0U,
                                     [&self, name, version](const internal::staged_pieces& read) {
                                         auto* const latest = find_model(self, name, version);
                                         if (latest == nullptr) {
                                             return;
                                         }
                                         if (read.m_interrupted) {
                                             latest->m_staged_scan_requested = false;
                                             return;
                                         }
                                         for (const auto piece : read.m_valid) {
                                             latest->m_pieces[piece] = piece_state::held;
                                         }
                                         latest->m_staged_digests = read.m_digests;
                                         latest->m_staged_scanned = true;
                                         self.m_core.m_events.write(
                                             "stage.read", {{"model", name},
                                                            {"version", static_cast<std::int64_t>(version)},
                                                            {"held", static_cast<std::int64_t>(read.m_valid.size())}});
                                         advance_models(self);
                                     });
                             });
}

namespace internal {

namespace {

/*! @brief Orders the load, or reads all pieces back once more, after all were found intact.
 * @param age Time since the first read began. */
auto decide_verified_load(daemon& self, model_state& model, const duration age) -> void {
    const auto round_time = estimate_round_time(self.m_staged_read_time, model.m_pieces.size());
    if (decide_load(age, round_time, model.m_verifications) == load_decision::order) {
        order_load(self, model);
        return;
    }
    self.m_core.m_events.write("load.deferred",
                               {{"model", model.m_name},
                                {"version", static_cast<std::int64_t>(model.m_version)},
                                {"reason", "the staged pieces were read back too slowly"},
                                {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()}});
    self.m_core.m_counters.add("loads_deferred_total");
    verify_and_order_load(self, model);
}

} // namespace

} // namespace internal

auto verify_and_order_load(daemon& self, model_state& model) -> void {
    model.m_phase = load_phase::verifying;
    ++model.m_verifications;
    std::vector<std::size_t> all(model.m_pieces.size());
    std::iota(all.begin(), all.end(), std::size_t{});
    internal::read_back_pieces(self, model, std::move(all), 0U,
                               [&self, name = model.m_name, version = model.m_version,
                                began = node::boot_now()](const internal::staged_pieces& read) {
                                   auto* const current = find_model(self, name, version);
                                   if (current == nullptr || current->m_phase != load_phase::verifying) {
                                       return;
                                   }
                                   if (is_runner_leaving(self)) {
                                       current->m_phase = load_phase::fetching;
                                       return;
                                   }
                                   if (read.m_valid.size() == current->m_pieces.size()) {
                                       internal::decide_verified_load(self, *current, node::boot_now() - began);
                                       return;
                                   }
                                   for (const auto piece : read.m_corrupt) {
                                       current->m_pieces[piece] = piece_state::missing;
                                       internal::record_corrupt_piece(self, *current, piece, "staged");
                                   }
                                   current->m_phase = load_phase::fetching;
                                   current->m_verifications = 0U;
                               });
}

namespace internal {

namespace {

/*! @brief Checks whether the runner takes no requests, as its load has been ordered or is not proven yet. */
[[nodiscard]] auto is_loading(const model_state& model) noexcept -> bool {
    return model.m_phase == load_phase::loading || model.m_phase == load_phase::proving ||
           model.m_phase == load_phase::discarding;
}

} // namespace

} // namespace internal

auto on_bulk_request(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    const auto name = adapter::query_value(incoming.m_target, "model");
    const auto version = adapter::query_value(incoming.m_target, "version");
    const auto found = self.m_models.find(name);
    const auto refuse = [&responder, &found, &self] {
        auto refusal = net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero());
        if (found != self.m_models.end()) {
            refusal.m_headers.push_back(
                {std::string{internal::version_held_header}, std::to_string(found->second.m_held_version)});
        }
        responder->respond(std::move(refusal));
    };
    if (found == self.m_models.end() || std::to_string(found->second.m_version) != version) {
        refuse();
        return;
    }
    auto& model = found->second;
    const std::vector<net::header> headers{
        {std::string{internal::pieces_held_header}, internal::format_piece_states(model.m_pieces)},
        {std::string{internal::version_held_header}, std::to_string(model.m_held_version)},
        {std::string{internal::version_loading_header},
         std::string{internal::is_loading(model) ? internal::loading_yes : "no"}}};
    if (incoming.m_target.starts_with("/have")) {
        responder->respond({internal::status_ok, headers, {}});
        return;
    }
    if (incoming.m_target.starts_with("/manifest")) {
        if (model.m_manifest_text.empty()) {
            refuse();
        } else {
            responder->respond({internal::status_ok, headers, model.m_manifest_text});
        }
        return;
    }
    const auto index_text = adapter::query_value(incoming.m_target, "index");
    const auto piece = index_text.empty() ? model.m_pieces.size()
                                          : static_cast<std::size_t>(std::strtoull(index_text.c_str(), nullptr, 10));
    if (piece >= model.m_pieces.size() || model.m_pieces[piece] != piece_state::held) {
        refuse();
        return;
    }
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_get(name, piece), internal::staged_piece_limits(self),
        [&self, responder, headers, piece, name, version = model.m_version](const net::call_end& end,
                                                                            net::http_response response) {
            auto* const current = find_model(self, name, version);
            // Without a manifest the piece is sent unchecked; the receiver verifies it anyway.
            const auto is_read = end.m_code == code::ok && response.m_status == internal::status_ok;
            const auto is_valid =
                is_read && current != nullptr &&
                (!current->m_manifest || sha256(response.m_body) == current->m_manifest->m_digests[piece]);
            if (is_valid) {
                responder->respond({internal::status_ok, headers, std::move(response.m_body)});
                return;
            }
            if (current != nullptr && is_read && current->m_manifest) {
                current->m_pieces[piece] = piece_state::missing;
                evidence_of(*current, piece).m_corrupt = true;
                internal::record_corrupt_piece(self, *current, piece, "staged");
            }
            responder->respond(net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero()));
        });
}

} // namespace rhubarbwharf::loader
