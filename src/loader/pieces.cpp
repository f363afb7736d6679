#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/transfer.hpp>
#include <node/boot_clock.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::loader {

namespace internal {

/*! @brief Concurrent fetches of one loader from the origin. */
constexpr unsigned max_origin_fetches = 2U;
/*! @brief Time for which a peer that failed, or a gateway that did not answer or does not relay the version, is not
 * used. */
constexpr duration peer_avoid_time = std::chrono::milliseconds{700};
/*! @brief Interval between queries to peers while gateways relay the pieces; allows a few queries during the load of a
 * version. */
constexpr duration relayed_peer_query_interval = std::chrono::milliseconds{300};
/*! @brief Time limit of a piece fetch from a gateway, which may itself wait at the origin for all other pieces of the
 * version. */
constexpr duration relayed_piece_timeout = std::chrono::milliseconds{3'500};
/*! @brief Time for which an origin that failed, or a gateway that answered without the piece, is not used. */
constexpr duration origin_avoid_time = std::chrono::milliseconds{300};
/*! @brief Number of groups of the peers in other regions; each query round asks one group at random. */
constexpr std::uint64_t remote_peer_groups = 4U;
/*! @brief Time in which only peers are used, before gateways and the origin. */
constexpr duration peer_head_start = std::chrono::milliseconds{80};

namespace {

auto refresh_peers(const daemon& self, model_state& model) -> void {
    std::vector<peer> updated{};
    for (const auto& [name, row] : self.m_core.m_members) {
        const auto& member = row.m_member;
        if (member.m_bulk_address.m_port == 0U || member.m_service != self.m_core.m_self.m_service ||
            name == self.m_core.m_self.m_instance) {
            continue;
        }
        const auto known = std::ranges::find(model.m_peers, name, &peer::m_instance);
        updated.push_back(known != model.m_peers.end() ? *known : peer{name, member.m_region, {}, 0U, 0U, {}, false});
    }
    model.m_peers = std::move(updated);
}

auto refresh_relays(const daemon& self, model_state& model, const time_point now) -> void {
    std::vector<relay> updated{};
    for (const auto& [name, row] : self.m_core.m_members) {
        if (!fleet::can_relay(row, now) || row.m_member.m_data_centre != self.m_core.m_self.m_data_centre) {
            continue;
        }
        const auto known = std::ranges::find(model.m_relays, name, &relay::m_instance);
        updated.push_back(known != model.m_relays.end() ? *known : relay{name, 0U, {}, relay_state::available});
    }
    model.m_relays = std::move(updated);
}

[[nodiscard]] auto find_relay(model_state& model, const std::string& name) -> relay* {
    const auto found = std::ranges::find(model.m_relays, name, &relay::m_instance);
    return found == model.m_relays.end() ? nullptr : &*found;
}

[[nodiscard]] auto find_peer(model_state& model, const std::string& name) -> peer* {
    const auto found = std::ranges::find(model.m_peers, name, &peer::m_instance);
    return found == model.m_peers.end() ? nullptr : &*found;
}

auto update_peer(model_state& model, const std::string& name, const net::http_response& response) -> void {
    const auto text = net::find(response.m_headers, pieces_held_header);
    const auto held = net::find(response.m_headers, version_held_header);
    auto* const sender = find_peer(model, name);
    if (sender == nullptr) {
        return;
    }
    if (text.size() == model.m_pieces.size()) {
        sender->m_pieces = parse_piece_states(text);
    }
    if (!held.empty()) {
        sender->m_held_version = std::strtoull(std::string{held}.c_str(), nullptr, 10);
    }
    sender->m_loading = net::find(response.m_headers, version_loading_header) == loading_yes;
}

auto query_peer(daemon& self, const model_state& model, const std::string& name) -> void {
    net::call_limits limits{};
    limits.m_total_time = peer_call_timeout;
    limits.m_connect_time = peer_call_timeout;
    limits.m_body_bytes = max_answer_bytes;
    net::http_request request{};
    request.m_target = fleet::transfer_target("have", model.m_name, model.m_version);
    const auto address = self.m_core.m_members[name].m_member.m_bulk_address;
    self.m_core.m_http.fetch(address, std::move(request), limits,
                             [&self, name, model_name = model.m_name,
                              version = model.m_version](const net::call_end&, const net::http_response& response) {
                                 if (auto* const current = find_model(self, model_name, version)) {
                                     update_peer(*current, name, response);
                                     fetch_pieces(self, *current);
                                 }
                             });
}

/*! @brief Queries all peers the first time, then those of the own region that are not up to date and one group of the
 * others. While gateways relay the pieces, only peers of the own region are queried, at a longer interval: only the
 * version that their runners hold is needed then. */
auto query_peers(daemon& self, model_state& model, const time_point now) -> void {
    const auto has_usable_relay = std::ranges::any_of(model.m_relays, [now](const relay& each) {
        return each.m_state != relay_state::refusing && now >= each.m_avoid_until;
    });
    if (now - model.m_last_peer_query < (has_usable_relay ? relayed_peer_query_interval : peer_query_interval) ||
        model.m_peers.empty()) {
        return;
    }
    const auto is_first_query = model.m_last_peer_query == time_point{};
    model.m_last_peer_query = now;
    const auto group = self.m_core.m_random() % remote_peer_groups;
    for (std::size_t index = 0U; index < model.m_peers.size(); ++index) {
        const auto& each = model.m_peers[index];
        const auto is_local = each.m_region == self.m_core.m_self.m_region;
        const auto up_to_date = is_complete(each.m_pieces) && each.m_held_version >= model.m_version;
        if ((is_first_query && (is_local || !has_usable_relay)) || (is_local && !up_to_date) ||
            (!is_local && !has_usable_relay && index % remote_peer_groups == group)) {
            query_peer(self, model, each.m_instance);
        }
    }
}

/*! @brief Stages a verified piece at the runner. */
auto stage_piece(daemon& self, model_state& model, const std::size_t piece, std::string bytes) -> void {
    const auto written_before = evidence_of(model, piece).m_written_until;
    record_write(evidence_of(model, piece), time_point::max());
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_put(model.m_name, piece, std::move(bytes)), runner_call_limits(),
        [&self, name = model.m_name, version = model.m_version, piece,
         written_before](const net::call_end& end, const net::http_response& response) {
            auto* const current = find_model(self, name, version);
            if (current == nullptr || piece >= current->m_pieces.size()) {
                return;
            }
            const auto is_unanswered = response.m_status == 0U && end.m_sent == net::sent::some;
            const auto written_until = node::boot_now() + (is_unanswered ? unanswered_write_time : duration::zero());
            record_write(evidence_of(*current, piece), std::max(written_before, written_until));
            const auto staged = response.m_status >= status_ok && response.m_status < status_success_end;
            current->m_pieces[piece] = staged ? piece_state::held : piece_state::missing;
            if (!staged) {
                self.m_core.m_events.write("stage.failed", {{"model", name},
                                                            {"piece", static_cast<std::int64_t>(piece)},
                                                            {"status", static_cast<std::int64_t>(response.m_status)}});
            }
            advance_models(self);
        });
}

[[nodiscard]] auto has_expected_digest(const model_state& model, const std::size_t piece, const std::string& bytes)
    -> bool {
    return model.m_manifest && piece < model.m_manifest->m_digests.size() &&
           sha256(bytes) == model.m_manifest->m_digests[piece];
}

[[nodiscard]] auto relay_state_for(const std::uint16_t status) -> relay_state {
    if (status == 0U || status == fleet::status_not_relayed) {
        return relay_state::unavailable;
    }
    return status == status_ok ? relay_state::available : relay_state::refusing;
}

/*! @brief Updates the smoothed transfer time. A sample is the time since the previous piece if fetches overlapped, else
 * the duration of the call. */
auto update_piece_transfer_time(daemon& self, const bool overlapping, const time_point requested_at) -> void {
    constexpr int smoothing_divisor = 2;
    const auto now = steady_now();
    const auto started = std::max(requested_at, std::exchange(self.m_last_piece_received, now));
    const auto measured = now - (overlapping ? started : requested_at);
    const auto previous = self.m_piece_transfer_time == duration::zero() ? measured : self.m_piece_transfer_time;
    self.m_piece_transfer_time = previous + (measured - previous) / smoothing_divisor;
}

auto on_piece(daemon& self, model_state& model, const std::size_t piece, const std::string& source,
              const time_point requested_at, net::http_response response) -> void {
    self.m_core.m_events.write(
        "piece.fetched",
        {{"model", model.m_name},
         {"version", static_cast<std::int64_t>(model.m_version)},
         {"piece", static_cast<std::int64_t>(piece)},
         {"from", source.empty() ? std::string_view{"origin"} : std::string_view{source}},
         {"status", static_cast<std::int64_t>(response.m_status)},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - requested_at).count()}});
    if (response.m_status == status_ok) {
        update_piece_transfer_time(self, model.m_active_fetches > 1U, requested_at);
    }
    --model.m_active_fetches;
    auto* const peer_source = find_peer(model, source);
    auto* const relay_source = find_relay(model, source);
    if (relay_source != nullptr) {
        relay_source->m_active_fetches -= std::min(relay_source->m_active_fetches, 1U);
        relay_source->m_state = relay_state_for(response.m_status);
    }
    if (peer_source != nullptr) {
        peer_source->m_active_fetches -= std::min(peer_source->m_active_fetches, 1U);
        update_peer(model, source, response);
    }
    if (source.empty()) {
        --model.m_active_origin_fetches;
        self.m_core.m_counters.add("origin_bytes_total", static_cast<double>(response.m_body.size()));
    }
    if (response.m_status == status_ok && !model.m_manifest) {
        model.m_pending_pieces[piece] = {std::move(response.m_body), source};
        fetch_pieces(self, model);
        return;
    }
    const auto is_valid = response.m_status == status_ok && has_expected_digest(model, piece, response.m_body);
    if (is_valid) {
        stage_piece(self, model, piece, std::move(response.m_body));
        fetch_pieces(self, model);
        return;
    }
    model.m_pieces[piece] = piece_state::missing;
    if (response.m_status == status_ok) {
        record_corrupt_piece(self, model, piece, source.empty() ? "origin" : source);
    }
    if (peer_source != nullptr) {
        peer_source->m_avoid_until = steady_now() + peer_avoid_time;
    }
    if (relay_source != nullptr) {
        relay_source->m_avoid_until =
            steady_now() + (relay_source->m_state == relay_state::unavailable ? peer_avoid_time : origin_avoid_time);
    }
    if (source.empty()) {
        model.m_avoid_origin_until = steady_now() + origin_avoid_time;
    }
}

[[nodiscard]] auto make_plan_input(daemon& self, const model_state& model, const time_point now) -> plan_input {
    plan_input out{};
    out.m_instance = self.m_core.m_self.m_instance;
    out.m_region = self.m_core.m_self.m_region;
    out.m_version = model.m_version;
    out.m_held_version = model.m_held_version;
    out.m_pieces = model.m_pieces;
    out.m_peers = model.m_peers;
    out.m_age = now - model.m_wanted_since;
    out.m_version_age = node::write_age(self.m_core, model.m_name, model.m_version, now).value_or(out.m_age);
    if (out.m_age >= peer_head_start) {
        out.m_relays = model.m_relays;
    }
    out.m_max_load_delay = std::chrono::duration_cast<duration>(
        std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_version_ms} * max_load_delay_share);
    out.m_now = now;
    out.m_random = self.m_core.m_random();
    return out;
}

auto start_fetch(daemon& self, model_state& model, const fetch& chosen) -> void {
    const auto piece = chosen.m_piece;
    net::endpoint address{};
    net::http_request request{};
    std::string source{};
    if (chosen.m_peer || chosen.m_relay) {
        if (chosen.m_peer) {
            auto& peer_source = model.m_peers[*chosen.m_peer];
            ++peer_source.m_active_fetches;
            source = peer_source.m_instance;
        } else {
            auto& relay_source = model.m_relays[*chosen.m_relay];
            ++relay_source.m_active_fetches;
            source = relay_source.m_instance;
        }
        address = self.m_core.m_members[source].m_member.m_bulk_address;
        request.m_target =
            fleet::transfer_target("piece", model.m_name, model.m_version) + "&index=" + std::to_string(piece);
    } else {
        const auto* const origin = fleet::find_origin(*self.m_core.m_configuration);
        address = origin->m_address;
        request = adapter::encode_piece_request(model.m_name, model.m_version, piece);
        ++model.m_active_origin_fetches;
    }
    ++model.m_active_fetches;
    model.m_pieces[piece] = piece_state::fetching;
    auto limits = origin_call_limits();
    limits.m_keep = !source.empty();
    limits.m_body_bytes = max_piece_bytes(self);
    if (chosen.m_relay) {
        limits.m_total_time = relayed_piece_timeout;
    }
    self.m_core.m_http.fetch(address, std::move(request), limits,
                             [&self, name = model.m_name, version = model.m_version, piece, source,
                              requested_at = steady_now()](const net::call_end&, net::http_response response) {
                                 if (auto* const current = find_model(self, name, version)) {
                                     on_piece(self, *current, piece, source, requested_at, std::move(response));
                                 }
                             });
}

} // namespace

auto refresh_sources(const daemon& self, model_state& model, const time_point now) -> void {
    refresh_peers(self, model);
    refresh_relays(self, model, now);
}

auto verify_pending_pieces(daemon& self, model_state& model) -> void {
    for (auto& [piece, pending] : std::exchange(model.m_pending_pieces, {})) {
        if (has_expected_digest(model, piece, pending.m_bytes)) {
            stage_piece(self, model, piece, std::move(pending.m_bytes));
        } else {
            model.m_pieces[piece] = piece_state::missing;
            record_corrupt_piece(self, model, piece, pending.m_source.empty() ? "origin" : pending.m_source);
        }
    }
}

} // namespace internal

auto fetch_pieces(daemon& self, model_state& model) -> void {
    const auto now = steady_now();
    // What is fetched for a runner that does not answer can't be staged, and would be fetched again.
    if (model.m_phase != load_phase::fetching || !self.m_runner_alive) {
        return;
    }
    internal::refresh_sources(self, model, now);
    request_manifest(self, model, model.m_version, model.m_manifest_request);
    // While the runner may accept an order, a piece that is replaced would seem to have been intact when it was loaded.
    if (!model.m_staged_scanned || may_be_accepted(model.m_open_orders)) {
        return;
    }
    internal::query_peers(self, model, now);
    const auto* const origin = fleet::find_origin(*self.m_core.m_configuration);
    while (model.m_active_fetches < concurrent_fetch_limit(self.m_piece_transfer_time)) {
        auto input = internal::make_plan_input(self, model, now);
        const auto origin_slots =
            internal::max_origin_fetches - std::min(model.m_active_origin_fetches, internal::max_origin_fetches);
        const auto has_responding_relay = std::ranges::any_of(
            model.m_relays, [](const relay& each) { return each.m_state != relay_state::unavailable; });
        const auto may_use_origin = origin != nullptr && !has_responding_relay &&
                                    input.m_age >= internal::peer_head_start && now >= model.m_avoid_origin_until;
        input.m_origin_fetch_slots = may_use_origin ? origin_slots : 0U;
        input.m_defers_local_fetches = model.m_held_version != 0U && defers_local_fetches(input);
        const auto chosen = next_fetch(input);
        if (!chosen) {
            return;
        }
        internal::start_fetch(self, model, *chosen);
    }
}

auto must_defer_load(daemon& self, const model_state& model) -> bool {
    const auto now = steady_now();
    const auto min_version = node::min_allowed_version(self.m_core, model.m_name, now, node::version_margin);
    return min_version <= model.m_held_version && defers_load(internal::make_plan_input(self, model, now));
}

} // namespace rhubarbwharf::loader
