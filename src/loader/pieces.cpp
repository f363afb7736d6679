#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/swap.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::loader {

namespace internal {

/*! @brief Pieces fetched from the origin at once by one loader. */
constexpr unsigned most_origin_fetches = 2U;
/*! @brief Time for which a peer that failed is left alone. */
constexpr duration avoid_time = std::chrono::milliseconds{700};
/*! @brief The same while gateways relay the pieces: a few times in the load of a version. */
constexpr duration relayed_ask_period = std::chrono::milliseconds{300};
/*! @brief Time for a piece from a gateway, which may have to wait for all others of its version at the origin. */
constexpr duration relayed_piece_time = std::chrono::milliseconds{3'500};
/*! @brief Time for which an origin that failed is left alone, or a gateway that could not give a piece. */
constexpr duration refused_avoid_time = std::chrono::milliseconds{300};
/*! @brief Questions in which each far peer is asked once. */
constexpr std::uint64_t far_turns = 4U;
/*! @brief Time in which peers are asked before a gateway or the origin is. */
constexpr duration first_word = std::chrono::milliseconds{80};

namespace {

auto refresh_peers(daemon& self, model_state& model) -> void {
    std::vector<peer> fresh{};
    for (const auto& [name, row] : self.m_core.m_members) {
        const auto& member = row.m_member;
        if (member.m_bulk.m_port == 0U || member.m_service != self.m_core.m_self.m_service ||
            name == self.m_core.m_self.m_instance) {
            continue;
        }
        const auto known = std::ranges::find(model.m_peers, name, &peer::m_instance);
        fresh.push_back(known != model.m_peers.end() ? *known : peer{name, member.m_region, {}, 0U, 0U, {}, false});
    }
    model.m_peers = std::move(fresh);
}

auto refresh_relays(const daemon& self, model_state& model, const time_point now) -> void {
    std::vector<relay> fresh{};
    for (const auto& [name, row] : self.m_core.m_members) {
        if (!fleet::relays(row, now) || row.m_member.m_data_centre != self.m_core.m_self.m_data_centre) {
            continue;
        }
        const auto known = std::ranges::find(model.m_relays, name, &relay::m_instance);
        fresh.push_back(known != model.m_relays.end() ? *known : relay{name, 0U, {}, relay_state::gives});
    }
    model.m_relays = std::move(fresh);
}

[[nodiscard]] auto find_relay(model_state& model, const std::string& name) -> relay* {
    const auto found = std::ranges::find(model.m_relays, name, &relay::m_instance);
    return found == model.m_relays.end() ? nullptr : &*found;
}

[[nodiscard]] auto find_peer(model_state& model, const std::string& name) -> peer* {
    const auto found = std::ranges::find(model.m_peers, name, &peer::m_instance);
    return found == model.m_peers.end() ? nullptr : &*found;
}

auto note_has(model_state& model, const std::string& name, const net::http_response& got) -> void {
    const auto text = net::find(got.m_headers, has_field);
    const auto held = net::find(got.m_headers, held_field);
    auto* const row = find_peer(model, name);
    if (row == nullptr) {
        return;
    }
    if (text.size() == model.m_pieces.size()) {
        row->m_has = states_of(text);
    }
    if (!held.empty()) {
        row->m_held = std::strtoull(std::string{held}.c_str(), nullptr, 10);
    }
    row->m_loading = net::find(got.m_headers, loading_field) == yes;
}

auto ask_peer(daemon& self, const model_state& model, const std::string& name) -> void {
    net::call_limits limits{};
    limits.m_total_time = ask_time;
    limits.m_connect_time = ask_time;
    net::http_request ask{};
    ask.m_target = fleet::transfer_target("have", model.m_name, model.m_version);
    const auto address = self.m_core.m_members[name].m_member.m_bulk;
    self.m_core.m_http.fetch(address, std::move(ask), limits,
                             [&self, name, model_name = model.m_name,
                              version = model.m_version](const net::call_end&, const net::http_response& got) {
                                 if (auto* const current = find_model(self, model_name, version)) {
                                     note_has(*current, name, got);
                                     fetch_pieces(self, *current);
                                 }
                             });
}

/*! @brief Asks all peers at first, then those of the region each time and a few far ones by turns. While gateways relay
 * the pieces, only the version that the runners of the region hold counts, and that seldom. */
auto ask_peers(daemon& self, model_state& model, const time_point now) -> void {
    const auto relayed = std::ranges::any_of(model.m_relays, [now](const relay& each) {
        return each.m_state != relay_state::refuses && now >= each.m_avoid_until;
    });
    if (now - model.m_asked_peers < (relayed ? relayed_ask_period : ask_period) || model.m_peers.empty()) {
        return;
    }
    const auto first = model.m_asked_peers == time_point{};
    model.m_asked_peers = now;
    const auto turn = self.m_core.m_random() % far_turns;
    for (std::size_t index = 0U; index < model.m_peers.size(); ++index) {
        const auto& each = model.m_peers[index];
        const auto near = each.m_region == self.m_core.m_self.m_region;
        const auto done = is_whole(each.m_has) && each.m_held >= model.m_version;
        if ((first && (near || !relayed)) || (near && !done) || (!near && !relayed && index % far_turns == turn)) {
            ask_peer(self, model, each.m_instance);
        }
    }
}

/*! @brief Stages a piece that has its digest. */
auto stage_piece(daemon& self, const model_state& model, const std::size_t piece, std::string bytes) -> void {
    self.m_core.m_http.fetch(
        self.m_runner, adapter::encode_stage_put(model.m_name, piece, std::move(bytes)), local_limits(),
        [&self, name = model.m_name, version = model.m_version, piece](const net::call_end&,
                                                                       const net::http_response& got) {
            auto* const current = find_model(self, name, version);
            if (current == nullptr || piece >= current->m_pieces.size()) {
                return;
            }
            const auto done = got.m_status >= status_ok && got.m_status < status_made;
            current->m_pieces[piece] = done ? piece_state::held : piece_state::missing;
            if (!done) {
                self.m_core.m_events.write("stage.failed", {{"model", name},
                                                            {"piece", static_cast<std::int64_t>(piece)},
                                                            {"status", static_cast<std::int64_t>(got.m_status)}});
            }
            advance(self);
        });
}

[[nodiscard]] auto is_right(const model_state& model, const std::size_t piece, const std::string& bytes) -> bool {
    return model.m_manifest && piece < model.m_manifest->m_pieces.size() &&
           sha256(bytes) == model.m_manifest->m_pieces[piece];
}

[[nodiscard]] auto state_after(const std::uint16_t status) -> relay_state {
    if (status == 0U || status == fleet::status_not_relayed) {
        return relay_state::silent;
    }
    return status == status_ok ? relay_state::gives : relay_state::refuses;
}

/*! @brief Learns how long the link takes for a piece: the time since the one before while others were on their way, or
 * the whole call of one that came alone. */
auto note_piece_time(daemon& self, const bool beside_others, const time_point asked) -> void {
    constexpr int parts = 2;
    const auto now = steady_now();
    const auto since = std::max(asked, std::exchange(self.m_last_piece, now));
    const auto measured = now - (beside_others ? since : asked);
    const auto known = self.m_piece_time == duration::zero() ? measured : self.m_piece_time;
    self.m_piece_time = known + (measured - known) / parts;
}

auto on_piece(daemon& self, model_state& model, const std::size_t piece, const std::string& from,
              const time_point asked, net::http_response got) -> void {
    self.m_core.m_events.write(
        "piece.fetched",
        {{"model", model.m_name},
         {"version", static_cast<std::int64_t>(model.m_version)},
         {"piece", static_cast<std::int64_t>(piece)},
         {"from", from.empty() ? std::string_view{"origin"} : std::string_view{from}},
         {"status", static_cast<std::int64_t>(got.m_status)},
         {"took_ms", std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - asked).count()}});
    if (got.m_status == status_ok) {
        note_piece_time(self, model.m_fetches > 1U, asked);
    }
    --model.m_fetches;
    auto* const row = find_peer(model, from);
    auto* const relayed = find_relay(model, from);
    if (relayed != nullptr) {
        relayed->m_fetches -= std::min(relayed->m_fetches, 1U);
        relayed->m_state = state_after(got.m_status);
    }
    if (row != nullptr) {
        row->m_fetches -= std::min(row->m_fetches, 1U);
        note_has(model, from, got);
    }
    if (from.empty()) {
        --model.m_origin_fetches;
        self.m_core.m_counters.add("origin_bytes_total", static_cast<double>(got.m_body.size()));
    }
    if (got.m_status == status_ok && !model.m_manifest) {
        model.m_unchecked[piece] = {std::move(got.m_body), from};
        fetch_pieces(self, model);
        return;
    }
    const auto whole = got.m_status == status_ok && is_right(model, piece, got.m_body);
    if (whole) {
        stage_piece(self, model, piece, std::move(got.m_body));
        fetch_pieces(self, model);
        return;
    }
    model.m_pieces[piece] = piece_state::missing;
    if (got.m_status == status_ok) {
        note_spoilt(self, model, piece, from.empty() ? "origin" : from);
    }
    if (row != nullptr) {
        row->m_avoid_until = steady_now() + avoid_time;
    }
    if (relayed != nullptr) {
        relayed->m_avoid_until =
            steady_now() + (relayed->m_state == relay_state::silent ? avoid_time : refused_avoid_time);
    }
    if (from.empty()) {
        model.m_origin_avoid_until = steady_now() + refused_avoid_time;
    }
}

[[nodiscard]] auto input_of(daemon& self, const model_state& model, const time_point now) -> plan_input {
    plan_input out{};
    out.m_instance = self.m_core.m_self.m_instance;
    out.m_region = self.m_core.m_self.m_region;
    out.m_version = model.m_version;
    out.m_held = model.m_held;
    out.m_pieces = model.m_pieces;
    out.m_peers = model.m_peers;
    out.m_age = now - model.m_wanted_since;
    if (out.m_age >= first_word) {
        out.m_relays = model.m_relays;
    }
    out.m_load_by = std::chrono::duration_cast<duration>(
        std::chrono::milliseconds{self.m_core.m_settings.m_bounds.m_version_ms} * last_load_part);
    out.m_now = now;
    out.m_random = self.m_core.m_random();
    return out;
}

auto begin_fetch(daemon& self, model_state& model, const fetch& chosen) -> void {
    const auto piece = chosen.m_piece;
    net::endpoint where{};
    net::http_request ask{};
    std::string from{};
    if (chosen.m_peer || chosen.m_relay) {
        if (chosen.m_peer) {
            auto& row = model.m_peers[*chosen.m_peer];
            ++row.m_fetches;
            from = row.m_instance;
        } else {
            auto& row = model.m_relays[*chosen.m_relay];
            ++row.m_fetches;
            from = row.m_instance;
        }
        where = self.m_core.m_members[from].m_member.m_bulk;
        ask.m_target =
            fleet::transfer_target("piece", model.m_name, model.m_version) + "&index=" + std::to_string(piece);
    } else {
        const auto* const origin = fleet::find_origin(*self.m_core.m_configuration);
        where = origin->m_address;
        ask = adapter::encode_piece_call(model.m_name, model.m_version, piece);
        ++model.m_origin_fetches;
    }
    ++model.m_fetches;
    model.m_pieces[piece] = piece_state::fetching;
    auto limits = origin_limits();
    limits.m_keep = !from.empty();
    if (chosen.m_relay) {
        limits.m_total_time = relayed_piece_time;
    }
    self.m_core.m_http.fetch(where, std::move(ask), limits,
                             [&self, name = model.m_name, version = model.m_version, piece, from,
                              asked = steady_now()](const net::call_end&, net::http_response got) {
                                 if (auto* const current = find_model(self, name, version)) {
                                     on_piece(self, *current, piece, from, asked, std::move(got));
                                 }
                             });
}

} // namespace

auto check_early_pieces(daemon& self, model_state& model) -> void {
    for (auto& [piece, early] : std::exchange(model.m_unchecked, {})) {
        if (is_right(model, piece, early.m_bytes)) {
            stage_piece(self, model, piece, std::move(early.m_bytes));
        } else {
            model.m_pieces[piece] = piece_state::missing;
            note_spoilt(self, model, piece, early.m_from.empty() ? "origin" : early.m_from);
        }
    }
}

} // namespace internal

auto fetch_pieces(daemon& self, model_state& model) -> void {
    const auto now = steady_now();
    if (model.m_stage != stage::fetching) {
        return;
    }
    internal::refresh_peers(self, model);
    internal::refresh_relays(self, model, now);
    ask_manifest(self, model, model.m_version, model.m_question);
    if (!model.m_staged_read) {
        return;
    }
    internal::ask_peers(self, model, now);
    const auto* const origin = fleet::find_origin(*self.m_core.m_configuration);
    while (model.m_fetches < fetches_at_once(self.m_piece_time)) {
        auto in = internal::input_of(self, model, now);
        const auto room =
            internal::most_origin_fetches - std::min(model.m_origin_fetches, internal::most_origin_fetches);
        const auto relayed =
            std::ranges::any_of(model.m_relays, [](const relay& each) { return each.m_state != relay_state::silent; });
        const auto may_ask =
            origin != nullptr && !relayed && in.m_age >= internal::first_word && now >= model.m_origin_avoid_until;
        in.m_origin_room = may_ask ? room : 0U;
        in.m_yields = model.m_held != 0U && yields(in);
        const auto chosen = next_fetch(in);
        if (!chosen) {
            return;
        }
        internal::begin_fetch(self, model, *chosen);
    }
}

auto waits_to_load(daemon& self, const model_state& model) -> bool {
    const auto now = steady_now();
    const auto least = node::least_version(self.m_core, model.m_name, now, node::version_margin);
    return least <= model.m_held && loads_later(internal::input_of(self, model, now));
}

} // namespace rhubarbwharf::loader
