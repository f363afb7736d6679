#include <algorithm>

#include <rhubarbwharf/dispatch/choice.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr double steps = 1'024.0;
/*! @brief Bits of the random number that one candidate's spread takes. */
constexpr unsigned spread_bits = 10U;
/*! @brief Predicted time of a plain service that nothing is known of, in ms. */
constexpr double plain_ms = 5.0;

[[nodiscard]] auto holds(const server_load& row, const demand& wanted) noexcept -> bool {
    if (wanted.m_model.empty()) {
        return true;
    }
    const auto version = fleet::version_of(row.m_models, wanted.m_model, wanted.m_layers);
    const auto right = wanted.m_version == 0U || version == wanted.m_version;
    return version != 0U && version >= wanted.m_least_version && right;
}

} // namespace

auto load(const server_load& row) noexcept -> double {
    return static_cast<double>(row.m_own) + row.m_others;
}

auto pass_time(const fleet::engine& engine, const double held) noexcept -> double {
    const auto slots = static_cast<double>(engine.m_slots);
    const auto running = std::min(held, slots);
    return engine.m_stride * (engine.m_step_ms + running * engine.m_request_ms) * (1.0 + running / slots);
}

auto predict_first(const server_load& row, const fleet::engine* const engine, const double prompt) noexcept -> double {
    const auto held = load(row);
    const auto slots = static_cast<double>(row.m_slots);
    if (engine == nullptr) {
        return plain_ms * (1.0 + std::max(0.0, held - slots / 2.0));
    }
    const auto step = engine->m_step_ms + std::min(held, slots) * engine->m_request_ms;
    const auto unread = row.m_unread + row.m_others_waiting * engine->m_usual_prompt + prompt;
    const auto reading = unread / engine->m_read_per_ms;
    const auto whole = engine->m_usual_output * step + engine->m_usual_prompt / engine->m_read_per_ms;
    const auto waits = held < slots ? 0.0 : (held - slots + 1.0) * whole / slots;
    return row.m_pace * (waits + reading + passes_before_first * pass_time(*engine, held));
}

auto is_held(const std::span<const std::shared_ptr<server_load>> rows, const demand& wanted) noexcept -> bool {
    return std::ranges::any_of(rows, [&wanted](const auto& each) { return holds(*each, wanted); });
}

auto is_fit(const server_load& row, const demand& wanted, const time_point now) noexcept -> bool {
    const auto tried = std::ranges::find(wanted.m_tried, row.m_id) != wanted.m_tried.end();
    return !row.m_draining && !row.m_gone && !row.m_busy && !tried && is_usable(row.m_health, now) &&
           holds(row, wanted);
}

auto has_room(const server_load& row, const placement_limits& limits) noexcept -> bool {
    const auto slots = static_cast<double>(row.m_slots);
    const auto held = load(row);
    const auto spare = std::max(0.0, slots - limits.m_reserve - held) / std::max(1.0, limits.m_gateways);
    return row.m_own < row.m_quota + spare && held < slots + limits.m_beyond_slots;
}

auto choose(const std::span<const server_load* const> rows, const fleet::engine* const engine, const demand& wanted,
            const placement_limits& limits, std::uint64_t random, const time_point now) -> std::optional<choice> {
    std::optional<choice> best{};
    double best_score{};
    auto best_drawn = false;
    const auto drawn_share = limits.m_drawn / static_cast<double>(std::max<std::size_t>(1U, rows.size()));
    for (std::size_t index = 0U; index < rows.size(); ++index) {
        const auto& row = *rows[index];
        // A linear congruential step gives each candidate other bits of the one random number.
        random = random * 6'364'136'223'846'793'005ULL + 1'442'695'040'888'963'407ULL;
        if (!is_fit(row, wanted, now) || !has_room(row, limits)) {
            continue;
        }
        const auto first = predict_first(row, engine, wanted.m_prompt);
        const auto spread = static_cast<double>((random >> spread_bits) % static_cast<std::uint64_t>(steps)) / steps *
                            limits.m_spread_ms;
        const auto crowding = engine == nullptr ? 0.0 : load(row) * engine->m_step_ms;
        const auto far = row.m_data_centre == limits.m_data_centre ? 0.0 : limits.m_far_ms;
        const auto silent =
            row.m_reported != time_point{} && now - row.m_reported > silent_report_time ? silent_ms : 0.0;
        const auto owed = row.m_own < row.m_quota || engine == nullptr ? 0.0 : beyond_quota_ms;
        const auto score = first + crowding + far + spread + silent + owed;
        const auto drawn = static_cast<double>(random >> (64U - spread_bits)) / steps < drawn_share;
        if (!best || (drawn && !best_drawn) || (drawn == best_drawn && score < best_score)) {
            best_drawn = drawn;
            best = choice{index, first, load(row)};
            best_score = score;
        }
    }
    return best;
}

} // namespace rhubarbwharf::dispatch
