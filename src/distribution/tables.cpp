#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "distribution/tables.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

auto next(random_bits& bits) -> std::uint64_t {
    return mix(bits.m_seed, bits.m_count++);
}

auto row_of(swarm& state, const instance_id instance, const region_id region, const time_point now) -> source_row& {
    if (state.m_rows.size() <= instance.value()) {
        state.m_rows.resize(instance.value() + 1U, no_row);
    }
    auto& place = state.m_rows[instance.value()];
    if (place == no_row) {
        place = static_cast<std::uint32_t>(state.m_sources.size());
        auto& row = state.m_sources.emplace_back();
        row.m_instance = instance;
        row.m_region = region;
        row.m_held = bit_set{state.m_held.size()};
        row.m_heard = now;
        row.m_grown = now;
    }
    return state.m_sources[place];
}

auto find_row(swarm& state, const instance_id instance) -> source_row* {
    if (instance.value() >= state.m_rows.size() || state.m_rows[instance.value()] == no_row) {
        return nullptr;
    }
    return &state.m_sources[state.m_rows[instance.value()]];
}

auto is_ready(const source_row& row, const time_point now) -> bool {
    return row.m_live && now >= row.m_busy_until && now >= row.m_avoid_until && row.m_held.count() > 0U;
}

auto start(swarm& state, const std::uint32_t chunk, const instance_id source, const std::optional<std::uint32_t> link,
           const time_point now, std::vector<command>& commands) -> void {
    ensure(!state.m_held.contains(chunk), "a chunk that is held is not fetched again");
    ensure(state.m_fetching.emplace(chunk), "a chunk has at most one fetch under way");
    if (auto* const row = find_row(state, source); row != nullptr) {
        ++row->m_fetches;
    }
    command issued{command_kind::fetch, source, chunk, state.m_next_attempt, std::nullopt, 1U};
    if (link) {
        auto& used = state.m_links[*link];
        ++used.m_fetches;
        issued.m_link = used.m_from;
        issued.m_width = used.m_width;
        state.m_changed = now;
    }
    state.m_fetches.push_back({state.m_next_attempt, chunk, source, link, now});
    ++state.m_next_attempt;
    commands.push_back(issued);
}

auto remove(swarm& state, const std::size_t place) -> void {
    const auto fetch = state.m_fetches[place];
    state.m_fetches[place] = state.m_fetches.back();
    state.m_fetches.pop_back();
    state.m_fetching.erase(fetch.m_chunk);
    if (auto* const row = find_row(state, fetch.m_source); row != nullptr) {
        ensure(row->m_fetches > 0U, "each fetch is counted at its source");
        --row->m_fetches;
    }
    if (fetch.m_link) {
        auto& link = state.m_links[*fetch.m_link];
        ensure(link.m_fetches > 0U, "each fetch over a link is counted there");
        --link.m_fetches;
    }
}

auto set_copies(swarm& state, const bit_set& before, const bit_set& after) -> void {
    const auto old_words = before.words();
    const auto new_words = after.words();
    for (std::uint32_t index = 0; index < new_words.size(); ++index) {
        for (auto changed = old_words[index] ^ new_words[index]; changed != 0U; changed &= changed - 1U) {
            const auto bit = static_cast<std::uint32_t>(std::countr_zero(changed));
            const auto added = (new_words[index] >> bit & 1U) != 0U;
            auto& copies = state.m_copies[index * bit_set::word_bits + bit];
            copies = static_cast<std::uint16_t>(added ? copies + 1 : copies - 1);
        }
    }
}

auto penalise(source_row& row, const duration base, const time_point now) -> void {
    constexpr std::uint32_t max_doublings = 5;
    row.m_avoid_until = now + base * (1U << std::min(row.m_failures, max_doublings));
    ++row.m_failures;
}

auto blame_link(link_row& link, const fetch_end end, const policy& rules, const time_point now) -> void {
    constexpr std::uint32_t max_doublings = 3;
    if (end == fetch_end::verified) {
        link.m_failures = 0;
    } else if (end == fetch_end::failed || link.m_direct) {
        link.m_wait_until = now + rules.m_avoid_time * (1U << std::min(link.m_failures, max_doublings));
        ++link.m_failures;
    }
}

auto blame(swarm& state, const fetch_row& fetch, const fetch_end end, const policy& rules, const time_point now)
    -> void {
    if (!fetch.m_link && end == fetch_end::verified) {
        state.m_failures = 0;
    } else if (!fetch.m_link && end == fetch_end::failed) {
        ++state.m_failures;
    }
    if (fetch.m_link) {
        blame_link(state.m_links[*fetch.m_link], end, rules, now);
    }
    auto* const row = find_row(state, fetch.m_source);
    if (row == nullptr) {
        return;
    }
    switch (end) {
    case fetch_end::verified:
        row->m_failures = 0;
        break;
    case fetch_end::corrupt:
        penalise(*row, rules.m_corrupt_time, now);
        break;
    case fetch_end::busy:
        row->m_busy_until = now + rules.m_busy_time;
        break;
    case fetch_end::not_held:
        if (row->m_held.erase(fetch.m_chunk) && row->m_region == state.m_region) {
            --state.m_copies[fetch.m_chunk];
        }
        break;
    case fetch_end::failed:
        penalise(*row, rules.m_avoid_time, now);
        break;
    }
}

/*! @brief Gives free uploads first to those who were refused before, so that none is always too late. */
[[nodiscard]] auto takes_turn(swarm& state, const instance_id asker, const policy& rules, const time_point now)
    -> bool {
    constexpr std::size_t most_refused = 32;
    auto& refused = state.m_refused;
    std::erase_if(refused, [&](const refused_row& row) { return now - row.m_at > rules.m_turn_time; });
    const auto own = std::ranges::find(refused, asker, &refused_row::m_instance);
    const auto was_refused = own != refused.end();
    const auto free = rules.m_uploads > state.m_uploads ? rules.m_uploads - state.m_uploads : 0U;
    if (free > 0U && (was_refused || refused.size() < free)) {
        if (was_refused) {
            refused.erase(own);
        }
        return true;
    }
    if (was_refused) {
        own->m_at = now;
    } else if (asker != origin && refused.size() < most_refused) {
        refused.push_back({asker, now});
    }
    return false;
}

} // namespace internal

auto stretch(policy rules, const double chunk_bytes, const double link_bytes_per_second,
             const double upload_bytes_per_second) noexcept -> policy {
    constexpr double microseconds = 1e6;
    constexpr double claim_factor = 1.5;
    constexpr double fetch_factor = 2.2;
    const auto seconds = [chunk_bytes](const double rate, const std::uint32_t at_once) {
        return rate > 0.0 ? chunk_bytes * at_once / rate : 0.0;
    };
    const auto link =
        seconds(link_bytes_per_second, rules.m_link_parallel * std::max(rules.m_gateways, rules.m_small_region));
    const auto region = seconds(upload_bytes_per_second, rules.m_uploads + rules.m_link_parallel);
    const auto spent = std::max(link, region) * microseconds;
    rules.m_claim_time = std::max(rules.m_claim_time, duration{static_cast<duration::rep>(spent * claim_factor)});
    rules.m_fetch_time = std::max(rules.m_fetch_time, duration{static_cast<duration::rep>(spent * fetch_factor)});
    return rules;
}

auto make_swarm(const instance_id self, const std::uint64_t version_hash, bit_set held, const time_point now) -> swarm {
    swarm state{};
    state.m_self = self;
    state.m_version_hash = version_hash;
    state.m_fetching = bit_set{held.size()};
    state.m_copies.resize(held.size());
    state.m_held = std::move(held);
    state.m_progress = now;
    state.m_changed = now;
    return state;
}

auto take_have(swarm& state, const instance_id from, const region_id region, const bit_set& held,
               const std::span<const std::uint32_t> claimed, const time_point now) -> void {
    if (held.size() != state.m_held.size() || from == state.m_self || from == origin) {
        return;
    }
    auto& row = internal::row_of(state, from, region, now);
    if (!row.m_live) {
        return;
    }
    if (row.m_region == state.m_region) {
        internal::set_copies(state, row.m_held, held);
    }
    row.m_grown = held.count() > row.m_held.count() ? now : row.m_grown;
    row.m_held = held;
    row.m_heard = now;
    row.m_asked = !held.full();
    std::vector<claim_row> claims{};
    for (const auto chunk : claimed) {
        const auto known = std::ranges::find(row.m_claims, chunk, &claim_row::m_chunk);
        claims.push_back({chunk, known != row.m_claims.end() ? known->m_since : now});
    }
    row.m_claims = std::move(claims);
}

auto take_chunk(swarm& state, const std::uint32_t chunk, const time_point now) -> void {
    if (state.m_held.emplace(chunk)) {
        state.m_progress = now;
        state.m_changed = now;
    }
}

auto take_end(swarm& state, const std::uint64_t attempt, const fetch_end end, const policy& rules, const time_point now)
    -> void {
    const auto found = std::ranges::find(state.m_fetches, attempt, &fetch_row::m_attempt);
    if (found == state.m_fetches.end()) {
        return;
    }
    const auto fetch = *found;
    internal::remove(state, static_cast<std::size_t>(found - state.m_fetches.begin()));
    if (end == fetch_end::verified) {
        take_chunk(state, fetch.m_chunk, now);
    } else if (fetch.m_link) {
        state.m_changed = now;
    }
    internal::blame(state, fetch, end, rules, now);
}

auto begin_upload(swarm& state, const std::uint32_t chunk, const instance_id asker, const bool remote,
                  const policy& rules, const time_point now) -> fetch_end {
    if (!state.m_held.contains(chunk)) {
        return fetch_end::not_held;
    }
    if (remote) {
        const auto is_free = state.m_link_uploads < rules.m_link_uploads;
        state.m_link_uploads += is_free ? 1U : 0U;
        return is_free ? fetch_end::verified : fetch_end::busy;
    }
    if (!internal::takes_turn(state, asker, rules, now)) {
        return fetch_end::busy;
    }
    ++state.m_uploads;
    return fetch_end::verified;
}

auto end_upload(swarm& state, const bool remote) -> void {
    auto& uploads = remote ? state.m_link_uploads : state.m_uploads;
    ensure(uploads > 0U, "each accepted upload is ended once");
    --uploads;
}

auto claims(const swarm& state) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> chunks{};
    for (const auto& fetch : state.m_fetches) {
        if (fetch.m_link) {
            chunks.push_back(fetch.m_chunk);
        }
    }
    return chunks;
}

} // namespace rhubarbwharf::distribution
