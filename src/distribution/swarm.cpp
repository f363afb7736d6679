#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>

#include "distribution/swarm_internal.hpp"

namespace rhubarbwharf::distribution {

namespace internal {

auto next_random(random_sequence& bits) -> std::uint64_t {
    return mix(bits.m_seed, bits.m_count++);
}

auto find_or_add_source(swarm& state, const instance_id instance, const region_id region, const time_point now)
    -> source_state& {
    if (state.m_source_indices.size() <= instance.value()) {
        state.m_source_indices.resize(instance.value() + 1U, no_source);
    }
    auto& index = state.m_source_indices[instance.value()];
    if (index == no_source) {
        index = static_cast<std::uint32_t>(state.m_sources.size());
        auto& added = state.m_sources.emplace_back();
        added.m_instance = instance;
        added.m_region = region;
        added.m_held_chunks = bit_set{state.m_held_chunks.size()};
        added.m_last_received_at = now;
        added.m_last_growth_at = now;
    }
    return state.m_sources[index];
}

auto find_source(swarm& state, const instance_id instance) -> source_state* {
    if (instance.value() >= state.m_source_indices.size() || state.m_source_indices[instance.value()] == no_source) {
        return nullptr;
    }
    return &state.m_sources[state.m_source_indices[instance.value()]];
}

auto is_ready(const source_state& source, const time_point now) -> bool {
    return source.m_live && now >= source.m_busy_until && now >= source.m_backoff_until &&
           source.m_held_chunks.count() > 0U;
}

auto start_fetch(swarm& state, const std::uint32_t chunk, const instance_id source,
                 const std::optional<std::uint32_t> link, const time_point now, std::vector<command>& commands)
    -> void {
    ensure(!state.m_held_chunks.contains(chunk), "a held chunk is not fetched again");
    ensure(state.m_fetching_chunks.emplace(chunk), "a chunk has at most one active fetch");
    if (auto* const entry = find_source(state, source); entry != nullptr) {
        ++entry->m_active_fetches;
    }
    command issued{command_kind::fetch, source, chunk, state.m_next_attempt, std::nullopt, 1U};
    if (link) {
        auto& used = state.m_links[*link];
        ++used.m_active_fetches;
        issued.m_link_region = used.m_from;
        issued.m_concurrent_gateways = used.m_concurrent_gateways;
        state.m_have_map_changed_at = now;
    }
    state.m_fetches.push_back({state.m_next_attempt, chunk, source, link, now});
    ++state.m_next_attempt;
    commands.push_back(issued);
}

auto remove_fetch(swarm& state, const std::size_t index) -> void {
    const auto fetch = state.m_fetches[index];
    state.m_fetches[index] = state.m_fetches.back();
    state.m_fetches.pop_back();
    state.m_fetching_chunks.erase(fetch.m_chunk);
    if (auto* const entry = find_source(state, fetch.m_source); entry != nullptr) {
        ensure(entry->m_active_fetches > 0U, "each active fetch is counted at its source");
        --entry->m_active_fetches;
    }
    if (fetch.m_link_index) {
        auto& link = state.m_links[*fetch.m_link_index];
        ensure(link.m_active_fetches > 0U, "each active fetch over a link is counted at the link");
        --link.m_active_fetches;
    }
}

auto update_copy_counts(swarm& state, const bit_set& before, const bit_set& after) -> void {
    const auto old_words = before.words();
    const auto new_words = after.words();
    for (std::uint32_t index = 0; index < new_words.size(); ++index) {
        for (auto changed = old_words[index] ^ new_words[index]; changed != 0U; changed &= changed - 1U) {
            const auto bit = static_cast<std::uint32_t>(std::countr_zero(changed));
            const auto added = (new_words[index] >> bit & 1U) != 0U;
            auto& copies = state.m_copy_counts[index * bit_set::word_bits + bit];
            copies = static_cast<std::uint16_t>(added ? copies + 1 : copies - 1);
        }
    }
}

auto back_off(source_state& entry, const duration base, const time_point now) -> void {
    constexpr std::uint32_t max_doublings = 5;
    entry.m_backoff_until = now + base * (1U << std::min(entry.m_consecutive_failures, max_doublings));
    ++entry.m_consecutive_failures;
}

auto record_link_result(link_state& link, const fetch_result result, const policy& rules, const time_point now)
    -> void {
    constexpr std::uint32_t max_doublings = 3;
    if (result == fetch_result::verified) {
        link.m_consecutive_failures = 0;
    } else if (result == fetch_result::failed || link.m_reads_origin) {
        link.m_backoff_until =
            now + rules.m_failure_backoff * (1U << std::min(link.m_consecutive_failures, max_doublings));
        ++link.m_consecutive_failures;
    }
}

auto record_fetch_result(swarm& state, const active_fetch& fetch, const fetch_result result, const policy& rules,
                         const time_point now) -> void {
    if (!fetch.m_link_index && result == fetch_result::verified) {
        state.m_consecutive_region_failures = 0;
    } else if (!fetch.m_link_index && result == fetch_result::failed) {
        ++state.m_consecutive_region_failures;
    }
    if (fetch.m_link_index) {
        record_link_result(state.m_links[*fetch.m_link_index], result, rules, now);
    }
    auto* const entry = find_source(state, fetch.m_source);
    if (entry == nullptr) {
        return;
    }
    switch (result) {
    case fetch_result::verified:
        entry->m_consecutive_failures = 0;
        break;
    case fetch_result::corrupt:
        back_off(*entry, rules.m_corrupt_backoff, now);
        break;
    case fetch_result::busy:
        entry->m_busy_until = now + rules.m_busy_backoff;
        break;
    case fetch_result::not_held:
        if (entry->m_held_chunks.erase(fetch.m_chunk) && entry->m_region == state.m_region) {
            --state.m_copy_counts[fetch.m_chunk];
        }
        break;
    case fetch_result::failed:
        back_off(*entry, rules.m_failure_backoff, now);
        break;
    }
}

/*! @brief Checks for a free upload slot; slots are reserved for instances refused before, so that none starves. */
[[nodiscard]] auto admit_upload(swarm& state, const instance_id requester, const policy& rules, const time_point now)
    -> bool {
    constexpr std::size_t max_refusals = 32;
    auto& refused = state.m_upload_refusals;
    std::erase_if(refused,
                  [&](const upload_refusal& entry) { return now - entry.m_refused_at > rules.m_reservation_timeout; });
    const auto earlier = std::ranges::find(refused, requester, &upload_refusal::m_instance);
    const auto was_refused = earlier != refused.end();
    const auto free = rules.m_max_uploads > state.m_active_uploads ? rules.m_max_uploads - state.m_active_uploads : 0U;
    if (free > 0U && (was_refused || refused.size() < free)) {
        if (was_refused) {
            refused.erase(earlier);
        }
        return true;
    }
    if (was_refused) {
        earlier->m_refused_at = now;
    } else if (requester != origin && refused.size() < max_refusals) {
        refused.push_back({requester, now});
    }
    return false;
}

} // namespace internal

auto scale_timeouts(policy rules, const double chunk_bytes, const double link_bytes_per_second,
                    const double upload_bytes_per_second) noexcept -> policy {
    constexpr double microseconds_per_second = 1e6;
    constexpr double claim_timeout_factor = 1.5;
    constexpr double fetch_timeout_factor = 2.2;
    const auto transfer_seconds = [chunk_bytes](const double rate, const std::uint32_t concurrent) {
        return rate > 0.0 ? chunk_bytes * concurrent / rate : 0.0;
    };
    const auto link_seconds =
        transfer_seconds(link_bytes_per_second,
                         rules.m_max_link_fetches * std::max(rules.m_gateways_per_link, rules.m_small_region_size));
    const auto region_seconds =
        transfer_seconds(upload_bytes_per_second, rules.m_max_uploads + rules.m_max_link_fetches);
    const auto transfer_microseconds = std::max(link_seconds, region_seconds) * microseconds_per_second;
    rules.m_claim_timeout = std::max(
        rules.m_claim_timeout, duration{static_cast<duration::rep>(transfer_microseconds * claim_timeout_factor)});
    rules.m_fetch_timeout = std::max(
        rules.m_fetch_timeout, duration{static_cast<duration::rep>(transfer_microseconds * fetch_timeout_factor)});
    return rules;
}

auto make_swarm(const instance_id self, const std::uint64_t version_hash, bit_set held, const time_point now) -> swarm {
    swarm state{};
    state.m_self = self;
    state.m_version_hash = version_hash;
    state.m_fetching_chunks = bit_set{held.size()};
    state.m_copy_counts.resize(held.size());
    state.m_held_chunks = std::move(held);
    state.m_last_progress_at = now;
    state.m_have_map_changed_at = now;
    return state;
}

auto apply_have_map(swarm& state, const instance_id from, const region_id region, const bit_set& held,
                    const std::span<const std::uint32_t> claimed, const time_point now) -> void {
    if (held.size() != state.m_held_chunks.size() || from == state.m_self || from == origin) {
        return;
    }
    auto& entry = internal::find_or_add_source(state, from, region, now);
    if (!entry.m_live) {
        return;
    }
    if (entry.m_region == state.m_region) {
        internal::update_copy_counts(state, entry.m_held_chunks, held);
    }
    entry.m_last_growth_at = held.count() > entry.m_held_chunks.count() ? now : entry.m_last_growth_at;
    entry.m_held_chunks = held;
    entry.m_last_received_at = now;
    entry.m_needs_reply = !held.full();
    std::vector<chunk_claim> claims{};
    for (const auto chunk : claimed) {
        const auto known = std::ranges::find(entry.m_claims, chunk, &chunk_claim::m_chunk);
        claims.push_back({chunk, known != entry.m_claims.end() ? known->m_claimed_at : now});
    }
    entry.m_claims = std::move(claims);
}

auto add_chunk(swarm& state, const std::uint32_t chunk, const time_point now) -> void {
    if (state.m_held_chunks.emplace(chunk)) {
        state.m_last_progress_at = now;
        state.m_have_map_changed_at = now;
    }
}

auto finish_fetch(swarm& state, const std::uint64_t attempt, const fetch_result result, const policy& rules,
                  const time_point now) -> void {
    const auto found = std::ranges::find(state.m_fetches, attempt, &active_fetch::m_attempt);
    if (found == state.m_fetches.end()) {
        return;
    }
    const auto fetch = *found;
    internal::remove_fetch(state, static_cast<std::size_t>(found - state.m_fetches.begin()));
    if (result == fetch_result::verified) {
        add_chunk(state, fetch.m_chunk, now);
    } else if (fetch.m_link_index) {
        state.m_have_map_changed_at = now;
    }
    internal::record_fetch_result(state, fetch, result, rules, now);
}

auto begin_upload(swarm& state, const std::uint32_t chunk, const instance_id requester, const bool remote,
                  const policy& rules, const time_point now) -> fetch_result {
    if (!state.m_held_chunks.contains(chunk)) {
        return fetch_result::not_held;
    }
    if (remote) {
        const auto is_free = state.m_active_link_uploads < rules.m_max_link_uploads;
        state.m_active_link_uploads += is_free ? 1U : 0U;
        return is_free ? fetch_result::verified : fetch_result::busy;
    }
    if (!internal::admit_upload(state, requester, rules, now)) {
        return fetch_result::busy;
    }
    ++state.m_active_uploads;
    return fetch_result::verified;
}

auto end_upload(swarm& state, const bool remote) -> void {
    auto& uploads = remote ? state.m_active_link_uploads : state.m_active_uploads;
    ensure(uploads > 0U, "each accepted upload is ended once");
    --uploads;
}

auto claimed_chunks(const swarm& state) -> std::vector<std::uint32_t> {
    std::vector<std::uint32_t> chunks{};
    for (const auto& fetch : state.m_fetches) {
        if (fetch.m_link_index) {
            chunks.push_back(fetch.m_chunk);
        }
    }
    return chunks;
}

} // namespace rhubarbwharf::distribution
