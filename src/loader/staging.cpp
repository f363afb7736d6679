#include <algorithm>
#include <functional>
#include <numeric>

#include <loader/daemon.hpp>
#include <loader/transfer.hpp>
#include <node/boot_clock.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::loader {

namespace internal {

namespace {

/*! @brief Result of reading staged pieces back. */
struct staged_pieces {
    std::vector<std::size_t> m_valid{};
    std::vector<std::size_t> m_corrupt{};
    /*! @brief Digests of the pieces that were read, by index. */
    std::vector<std::optional<digest>> m_digests{};
    /*! @brief Whether a read was not answered; no further reads were started then. */
    bool m_interrupted{false};
};

/*! @brief Updates the smoothed time that the runner takes to return a staged piece. */
auto note_read_time(daemon& self, const duration took) -> void {
    constexpr auto weight = 4;
    auto& smoothed = self.m_staged_read_time;
    smoothed = smoothed == duration::zero() ? took : smoothed + (took - smoothed) / weight;
}

/*! @brief Reads staged pieces back, several at once if the runner is slow, and checks their digests. */
struct staged_reader : std::enable_shared_from_this<staged_reader> {
    daemon& m_self;
    std::string m_model{};
    std::uint64_t m_version{};
    std::vector<std::size_t> m_remaining{};
    std::size_t m_piece_count{};
    unsigned m_active_reads{};
    /*! @brief Not called if the version is no longer wanted. */
    std::function<void(const staged_pieces&)> m_on_done{};
    staged_pieces m_result{};

    explicit staged_reader(daemon& self) : m_self{self} {}

    /*! @brief Starts reads up to the limit, or ends if none is left. */
    auto read_more() -> void {
        const auto limit = concurrent_read_limit(m_self.m_staged_read_time, m_piece_count);
        while (!m_result.m_interrupted && !m_remaining.empty() && m_active_reads < limit) {
            const auto piece = m_remaining.back();
            m_remaining.pop_back();
            ++m_active_reads;
            read(piece);
        }
        if (m_active_reads == 0U) {
            m_on_done(m_result);
        }
    }

    auto read(const std::size_t piece) -> void {
        m_self.m_core.m_http.fetch(m_self.m_runner, adapter::encode_stage_get(m_model, piece),
                                   staged_piece_limits(m_self),
                                   [self = shared_from_this(), piece, began = steady_now()](
                                       const net::call_end& end, const net::http_response& response) {
                                       --self->m_active_reads;
                                       if (end.m_code == code::ok) {
                                           note_read_time(self->m_self, steady_now() - began);
                                       }
                                       self->on_piece(piece, end, response);
                                   });
    }

    auto on_piece(const std::size_t piece, const net::call_end& end, const net::http_response& response) -> void {
        const auto* const model = find_model(m_self, m_model, m_version);
        if (model == nullptr || !model->m_manifest) {
            return;
        }
        const auto& digests = model->m_manifest->m_digests;
        const auto result = judge_read(end, response, piece < digests.size() ? &digests[piece] : nullptr);
        if (result != read_result::unanswered && response.m_status == status_ok && piece < m_result.m_digests.size()) {
            m_result.m_digests[piece] = sha256(response.m_body);
        }
        if (result == read_result::unanswered) {
            m_result.m_interrupted = true;
        } else {
            (result == read_result::intact ? m_result.m_valid : m_result.m_corrupt).push_back(piece);
        }
        read_more();
    }
};

/*! @param digest_count Number of pieces whose digests are returned; 0 if only the comparison is of use. */
auto read_back_pieces(daemon& self, const model_state& model, std::vector<std::size_t> pieces,
                      const std::size_t digest_count, std::function<void(const staged_pieces&)> on_done) -> void {
    auto reader = std::make_shared<staged_reader>(self);
    reader->m_result.m_digests.resize(digest_count);
    reader->m_model = model.m_name;
    reader->m_version = model.m_version;
    reader->m_piece_count = pieces.size();
    reader->m_remaining = std::move(pieces);
    reader->m_on_done = std::move(on_done);
    reader->read_more();
}

auto order_load(daemon& self, model_state& model) -> void {
    model.m_phase = load_phase::loading;
    model.m_verifications = 0U;
    model.m_load_ordered_at = steady_now();
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
        [&self, name = model.m_name, version = model.m_version,
         started_ms = self.m_report.m_started_ms](const net::call_end& end, const net::http_response& response) {
            self.m_core.m_events.write("load.answered", {{"model", name},
                                                         {"version", static_cast<std::int64_t>(version)},
                                                         {"status", static_cast<std::int64_t>(response.m_status)}});
            constexpr std::uint16_t accepted = 202U;
            auto* const current = find_model(self, name, version);
            if (current == nullptr) {
                return;
            }
            const auto is_accepted = response.m_status == accepted || response.m_status == status_ok;
            const auto is_unanswered = response.m_status == 0U && end.m_sent == net::sent::some;
            const auto rejected = is_unanswered ? order_end::unanswered : order_end::refused;
            record_order_end(current->m_open_orders, started_ms, is_accepted ? order_end::accepted : rejected);
            if (response.m_status != 0U && !is_accepted) {
                current->m_phase = load_phase::fetching;
            }
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

/*! @brief Orders the load if the read-backs of all pieces, which were intact, are recent enough.
 * @param age Time since the first read began. */
auto decide_verified_load(daemon& self, model_state& model, const duration age) -> void {
    const auto decision = decide_load(age, model.m_verifications);
    if (decision == load_decision::order) {
        order_load(self, model);
        return;
    }
    self.m_core.m_events.write("load.deferred",
                               {{"model", model.m_name},
                                {"version", static_cast<std::int64_t>(model.m_version)},
                                {"reason", "the staged pieces were read back too slowly"},
                                {"age_ms", std::chrono::duration_cast<std::chrono::milliseconds>(age).count()},
                                {"verifications", static_cast<std::int64_t>(model.m_verifications)}});
    self.m_core.m_counters.add("loads_deferred_total");
    if (decision == load_decision::verify_again) {
        verify_and_order_load(self, model);
        return;
    }
    model.m_phase = load_phase::fetching;
    model.m_verifications = 0U;
    model.m_verify_after = steady_now() + verification_pause;
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
         std::string{model.m_phase == load_phase::loading ? internal::loading_yes : "no"}}};
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
                internal::record_corrupt_piece(self, *current, piece, "staged");
            }
            responder->respond(net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero()));
        });
}

} // namespace rhubarbwharf::loader
