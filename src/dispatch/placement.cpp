#include <algorithm>
#include <cmath>
#include <utility>

#include <rhubarbwharf/dispatch/placement.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr double random_steps = 1'024.0;
/*! @brief Random bits that select one of `random_steps` values. */
constexpr unsigned random_step_bits = 10U;
/*! @brief Predicted time to the first byte of an unloaded backend server that has no engine profile, in ms. */
constexpr double plain_service_first_byte_ms = 5.0;

[[nodiscard]] auto satisfies_version(const server_load& row, const request_requirements& required) noexcept -> bool {
    if (required.m_model.empty()) {
        return true;
    }
    const auto version = fleet::complete_version(row.m_models, required.m_model, required.m_layers);
    const auto version_matches = required.m_required_version == 0U || version == required.m_required_version;
    return version != 0U && version >= required.m_min_version && version_matches;
}

/*! @brief Checks whether a backend server takes new requests and holds what a request requires. */
[[nodiscard]] auto is_suitable(const server_load& row, const request_requirements& required,
                               const time_point now) noexcept -> bool {
    const auto is_allowed =
        required.m_allowed_regions == nullptr || fleet::allows(*required.m_allowed_regions, row.m_region);
    return is_allowed && !row.m_evacuated && !row.m_draining && !row.m_leaving && !row.m_removed &&
           now >= row.m_replaced_until && !row.m_loading && satisfies_version(row, required);
}

} // namespace

auto estimate_load(const server_load& row) noexcept -> double {
    return static_cast<double>(row.m_own_requests) + row.m_other_requests;
}

auto excess_of_urgency(const unsigned urgency, const std::size_t kinds) noexcept -> double {
    if (kinds == 0U) {
        return 0.0;
    }
    const auto more_urgent = static_cast<double>(urgency);
    const auto less_urgent = static_cast<double>(kinds - 1U) - more_urgent;
    const auto excess = (less_urgent - more_urgent) * excess_requests_per_kind;
    return std::clamp(excess, -max_excess_requests, max_excess_requests);
}

auto predict_pass_ms(const fleet::engine_profile& engine, const double requests) noexcept -> double {
    const auto slots = static_cast<double>(engine.m_slots);
    const auto running = std::min(requests, slots);
    return engine.m_steps_per_pass * (engine.m_step_ms + running * engine.m_step_ms_per_request) *
           (1.0 + running / slots);
}

auto predict_first_byte_ms(const server_load& row, const fleet::engine_profile* const engine,
                           const double prompt) noexcept -> double {
    const auto requests = estimate_load(row);
    const auto slots = static_cast<double>(row.m_slots);
    if (engine == nullptr) {
        return plain_service_first_byte_ms * (1.0 + std::max(0.0, requests - slots / 2.0));
    }
    const auto step_ms = engine->m_step_ms + std::min(requests, slots) * engine->m_step_ms_per_request;
    const auto unread_tokens =
        row.m_unread_prompt_tokens + row.m_other_waiting_requests * engine->m_mean_prompt_tokens + prompt;
    const auto prefill_ms = unread_tokens / engine->m_prefill_tokens_per_ms;
    const auto mean_request_ms =
        engine->m_mean_output_tokens * step_ms + engine->m_mean_prompt_tokens / engine->m_prefill_tokens_per_ms;
    const auto queue_ms = requests < slots ? 0.0 : (requests - slots + 1.0) * mean_request_ms / slots;
    return row.m_slowdown * (queue_ms + prefill_ms + passes_before_first_token * predict_pass_ms(*engine, requests));
}

auto is_version_held(const std::span<const std::shared_ptr<server_load>> rows,
                     const request_requirements& required) noexcept -> bool {
    return std::ranges::any_of(rows, [&required](const auto& each) { return satisfies_version(*each, required); });
}

auto is_eligible(const server_load& row, const request_requirements& required, const time_point now) noexcept -> bool {
    const auto already_tried = std::ranges::find(required.m_tried_servers, row.m_id) != required.m_tried_servers.end();
    return is_suitable(row, required, now) && !already_tried && now >= row.m_paused_until &&
           is_usable(row.m_health, now);
}

auto time_until_resumed(const std::span<const std::shared_ptr<server_load>> rows, const request_requirements& required,
                        const time_point now) -> std::optional<duration> {
    std::optional<time_point> first{};
    auto any_paused = false;
    for (const auto& row : rows) {
        if (!is_suitable(*row, required, now)) {
            continue;
        }
        if (is_eligible(*row, required, now)) {
            return std::nullopt;
        }
        any_paused = any_paused || row->m_paused_until > now;
        const auto available = std::max(row->m_paused_until, row->m_health.m_ejected_until);
        first = available > now ? std::min(first.value_or(available), available) : first;
    }
    return any_paused && first ? std::optional{*first - now} : std::nullopt;
}

auto find_turns(const std::span<const std::shared_ptr<server_load>> rows, const request_requirements& required,
                const time_point now) -> std::optional<turn_outlook> {
    std::optional<turn_outlook> out{};
    for (const auto& row : rows) {
        if (!is_eligible(*row, required, now)) {
            continue;
        }
        if (!row->m_turns) {
            return std::nullopt;
        }
        out = out.value_or(turn_outlook{duration::max(), 0.0});
        out->m_first = std::min(out->m_first, time_until_turn(*row->m_turns, now));
        out->m_per_s += row->m_turns->m_per_s;
    }
    return out;
}

auto wait_for_turn(const turn_outlook& outlook, const std::size_t waiting) noexcept -> duration {
    if (outlook.m_per_s <= 0.0) {
        return duration::max();
    }
    const std::chrono::duration<double> behind_others{static_cast<double>(waiting) / outlook.m_per_s};
    return outlook.m_first + std::chrono::duration_cast<duration>(behind_others);
}

auto record_refusal(server_load& row, const time_point now) noexcept -> void {
    if (!std::exchange(row.m_counts_as_full, true)) {
        row.m_other_requests_before = row.m_other_requests;
    }
    row.m_other_requests = std::max(row.m_other_requests, static_cast<double>(row.m_slots) + 1.0);
    row.m_last_refused = now;
}

auto expire_refusals(const std::span<const std::shared_ptr<server_load>> rows, const time_point now) noexcept -> void {
    for (const auto& row : rows) {
        if (row->m_counts_as_full && now - row->m_last_refused >= refusal_memory) {
            row->m_counts_as_full = false;
            row->m_other_requests = row->m_other_requests_before;
        }
    }
}

auto note_free_slots(server_load& row, const double requests, const std::uint64_t random) noexcept -> void {
    row.m_free.m_reported = static_cast<double>(row.m_slots) - requests;
    row.m_free.m_rounding = static_cast<double>(random % static_cast<std::uint64_t>(random_steps)) / random_steps;
    row.m_free.m_used = 0;
}

auto may_use_free_slot(const server_load& row, const placement_options& options, const time_point now) noexcept
    -> bool {
    const auto slots = std::max(1.0, static_cast<double>(row.m_slots));
    const auto is_scarce = estimate_load(row) >= slots * (1.0 - rationed_slots_fraction);
    const auto is_divided = options.m_divides_free_slots && options.m_gateway_count > slots;
    if (!is_scarce || !is_divided || now - row.m_last_reported > stale_report_age) {
        return true;
    }
    const auto part = std::clamp(row.m_quota / slots, 1.0 / std::max(1.0, options.m_gateway_count), 1.0);
    const auto free = std::max(0.0, row.m_free.m_reported + options.m_max_excess_requests);
    return std::floor(free * part + row.m_free.m_rounding) > static_cast<double>(row.m_free.m_used);
}

auto record_request(server_load& row, const time_point now) noexcept -> void {
    if (!std::exchange(row.m_is_awaited, true)) {
        row.m_awaited_since = now;
    }
    if (row.m_turns) {
        take_turn(*row.m_turns, now);
    }
    ++row.m_own_requests;
    ++row.m_free.m_used;
}

auto record_sign_of_life(server_load& row, const time_point now) noexcept -> void {
    row.m_awaited_since = now;
    row.m_last_sign = now;
}

auto has_lived_since(const server_load& row, const time_point broke_at) noexcept -> bool {
    return row.m_last_sign > broke_at + crash_settling_time;
}

auto record_request_end(server_load& row, const time_point now) noexcept -> void {
    row.m_own_requests -= std::min(row.m_own_requests, 1U);
    --row.m_free.m_used;
    // What a silent server is awaited for is remembered, so that it gets a single request until it reacts.
    row.m_is_awaited = row.m_own_requests > 0U || is_silent(row, now);
}

auto is_silent(const server_load& row, const time_point now) noexcept -> bool {
    return row.m_is_awaited && now - row.m_awaited_since > stale_report_age &&
           now - row.m_last_reported > stale_report_age;
}

auto has_capacity(const server_load& row, const placement_options& options) noexcept -> bool {
    const auto slots = static_cast<double>(row.m_slots);
    const auto requests = estimate_load(row);
    const auto spare_share =
        std::max(0.0, slots - options.m_quota_only_slots - requests) / std::max(1.0, options.m_gateway_count);
    return row.m_own_requests < row.m_quota + spare_share && requests < slots + options.m_max_excess_requests;
}

auto is_reported_directly(const server_load& row, const time_point now) noexcept -> bool {
    return row.m_last_heard != time_point{} && now - row.m_last_heard <= stale_report_age;
}

namespace {

/*! @brief Fraction of the servers of each kind that is sampled. */
struct sampling {
    double m_direct{1.0};
    double m_relayed{1.0};
};

[[nodiscard]] auto sampling_of(const std::span<const server_load* const> rows, const placement_options& options,
                               const time_point now) noexcept -> sampling {
    if (options.m_prefers_idle) {
        return {};
    }
    const auto direct = std::ranges::count_if(rows, [now](const auto* row) { return is_reported_directly(*row, now); });
    const auto relayed = static_cast<std::ptrdiff_t>(rows.size()) - direct;
    const auto fraction = [&options](const std::ptrdiff_t count) {
        return options.m_sample_size / static_cast<double>(std::max<std::ptrdiff_t>(1, count));
    };
    return {fraction(direct), fraction(relayed)};
}

/*! @brief Returns what is added for the age of a runner's load, in ms. */
[[nodiscard]] auto report_age_penalty_ms(const server_load& row, const bool is_direct, const time_point now) noexcept
    -> double {
    if (row.m_last_reported == time_point{}) {
        return 0.0;
    }
    if (now - row.m_last_reported > stale_report_age) {
        return stale_report_penalty_ms;
    }
    const auto age_ms = std::chrono::duration<double, std::milli>{now - row.m_last_reported}.count();
    return is_direct ? 0.0 : age_ms * relayed_report_penalty;
}

} // namespace

auto choose_server(const std::span<const server_load* const> rows, const fleet::engine_profile* const engine,
                   const request_requirements& required, const placement_options& options, std::uint64_t random,
                   const time_point now) -> std::optional<choice> {
    std::optional<choice> best{};
    double best_score{};
    auto best_sampled = false;
    const auto fractions = sampling_of(rows, options, now);
    for (std::size_t index = 0U; index < rows.size(); ++index) {
        const auto& row = *rows[index];
        // A linear congruential step derives different bits for each candidate from the one random number.
        random = random * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        const auto is_stuck = row.m_own_requests > 0U && is_silent(row, now);
        const auto has_no_turn = row.m_turns && !has_turn(*row.m_turns, now);
        const auto is_full = !has_capacity(row, options) || !may_use_free_slot(row, options, now);
        if (is_stuck || has_no_turn || !is_eligible(row, required, now) || is_full) {
            continue;
        }
        const auto first_byte_ms = predict_first_byte_ms(row, engine, required.m_prompt_tokens);
        const auto has_free_slot = estimate_load(row) < static_cast<double>(row.m_slots);
        if (!has_free_slot && first_byte_ms > options.m_max_excess_first_byte_ms) {
            continue;
        }
        const auto jitter_ms =
            static_cast<double>((random >> random_step_bits) % static_cast<std::uint64_t>(random_steps)) /
            random_steps * options.m_jitter_ms;
        const auto load_penalty_ms = engine == nullptr ? 0.0 : estimate_load(row) * engine->m_step_ms;
        const auto remote_penalty_ms = row.m_data_centre == options.m_data_centre ? 0.0 : options.m_remote_penalty_ms;
        const auto is_direct = is_reported_directly(row, now);
        const auto quota_penalty_ms =
            row.m_own_requests < row.m_quota || engine == nullptr ? 0.0 : over_quota_penalty_ms;
        const auto busy_penalty_ms = options.m_prefers_idle ? estimate_load(row) * busy_penalty_ms_per_request : 0.0;
        const auto score = busy_penalty_ms + first_byte_ms + load_penalty_ms + remote_penalty_ms + jitter_ms +
                           report_age_penalty_ms(row, is_direct, now) + quota_penalty_ms;
        const auto sampled = static_cast<double>(random >> (64U - random_step_bits)) / random_steps <
                             (is_direct ? fractions.m_direct : fractions.m_relayed);
        if (!best || (sampled && !best_sampled) || (sampled == best_sampled && score < best_score)) {
            best_sampled = sampled;
            best = choice{index, first_byte_ms, estimate_load(row)};
            best_score = score;
        }
    }
    return best;
}

} // namespace rhubarbwharf::dispatch
