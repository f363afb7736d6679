#include <algorithm>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/routing/backend_choice.hpp>

namespace rhubarbwharf::routing {

namespace internal {

[[nodiscard]] auto prefix_slot(const std::uint64_t prefix) noexcept -> std::size_t {
    return static_cast<std::size_t>(prefix % max_remembered_prefixes);
}

/*! @brief Load after one more request, relative to the capacity. */
[[nodiscard]] auto relative_load(const candidate& row) noexcept -> double {
    return static_cast<double>(row.m_load + 1U) / static_cast<double>(std::max(row.m_capacity, 1U));
}

[[nodiscard]] auto mean_relative_load(const std::span<const candidate> rows) noexcept -> double {
    double loads = 1.0;
    double capacities = 0.0;
    for (const auto& row : rows) {
        loads += row.m_load;
        capacities += std::max(row.m_capacity, 1U);
    }
    return loads / std::max(capacities, 1.0);
}

[[nodiscard]] auto median_first_byte_s(const std::span<const candidate> rows) -> double {
    std::vector<double> samples{};
    for (const auto& row : rows) {
        if (row.m_first_byte_s > 0.0) {
            samples.push_back(row.m_first_byte_s);
        }
    }
    if (samples.empty()) {
        return 0.0;
    }
    const auto middle = samples.begin() + static_cast<std::ptrdiff_t>((samples.size() - 1U) / 2U);
    std::ranges::nth_element(samples, middle);
    return *middle;
}

[[nodiscard]] auto is_slow(const candidate& row, const double median, const choice_options& options) noexcept -> bool {
    return median > 0.0 && row.m_first_byte_s > median * options.m_slow_ratio;
}

/*! @brief Tells whether the load of a candidate lets it be chosen by prefix. */
[[nodiscard]] auto is_within_bound(const candidate& row, const double bound) noexcept -> bool {
    return row.m_load == 0U || relative_load(row) <= bound;
}

[[nodiscard]] auto least_loaded_holder(const std::span<const candidate> rows, const double bound) noexcept
    -> std::optional<std::size_t> {
    std::optional<std::size_t> best{};
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const auto is_usable = rows[index].m_holds_prefix && is_within_bound(rows[index], bound);
        if (is_usable && (!best || relative_load(rows[index]) < relative_load(rows[*best]))) {
            best = index;
        }
    }
    return best;
}

/*! @brief Finds the candidate within the bound that comes first by rendezvous hashing of the prefix. */
[[nodiscard]] auto first_in_rendezvous_order(const std::span<const candidate> rows, const std::uint64_t prefix,
                                             const double bound) noexcept -> std::optional<std::size_t> {
    std::optional<std::size_t> best{};
    std::uint64_t max_weight = 0;
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const auto weight = mix(prefix, rows[index].m_instance.value());
        if (is_within_bound(rows[index], bound) && (!best || weight > max_weight)) {
            best = index;
            max_weight = weight;
        }
    }
    return best;
}

[[nodiscard]] auto less_loaded_of_two(const std::span<const candidate> rows, const std::uint64_t random) noexcept
    -> std::size_t {
    const auto candidate_count = rows.size();
    const auto first = static_cast<std::size_t>(random % candidate_count);
    if (candidate_count == 1U) {
        return first;
    }
    const auto second =
        (first + 1U + static_cast<std::size_t>((random >> 32U) % (candidate_count - 1U))) % candidate_count;
    return relative_load(rows[second]) < relative_load(rows[first]) ? second : first;
}

} // namespace internal

auto estimate_load(const backend_state& row) noexcept -> std::uint32_t {
    const auto corrected =
        static_cast<std::int64_t>(row.m_reported_requests) + row.m_in_flight - row.m_in_flight_at_report;
    return static_cast<std::uint32_t>(std::max<std::int64_t>(corrected, row.m_in_flight));
}

auto apply_load_report(backend_state& row, const std::uint32_t reported, const std::uint32_t capacity) noexcept
    -> void {
    row.m_reported_requests = reported;
    row.m_in_flight_at_report = row.m_in_flight;
    row.m_capacity = capacity;
}

auto remember_prefix(backend_state& row, const std::uint64_t prefix) noexcept -> void {
    if (prefix != 0U) {
        row.m_prefixes[internal::prefix_slot(prefix)] = prefix;
    }
}

auto holds_prefix(const backend_state& row, const std::uint64_t prefix) noexcept -> bool {
    return prefix != 0U && row.m_prefixes[internal::prefix_slot(prefix)] == prefix;
}

auto record_first_byte(backend_state& row, const duration sample) noexcept -> void {
    constexpr double newest_sample_weight = 0.2;
    const auto seconds = std::chrono::duration<double>{sample}.count();
    row.m_first_byte_s = row.m_first_byte_s == 0.0
                             ? seconds
                             : row.m_first_byte_s + newest_sample_weight * (seconds - row.m_first_byte_s);
}

auto has_capacity(const candidate& row, const choice_options& options) noexcept -> bool {
    return static_cast<double>(row.m_load) < static_cast<double>(row.m_capacity) * (1.0 + options.m_queue_fraction);
}

auto choose_backend(const std::span<const candidate> rows, const std::uint64_t prefix, const std::uint64_t random,
                    const choice_options& options) -> std::optional<std::size_t> {
    const auto median = internal::median_first_byte_s(rows);
    std::vector<candidate> eligible{};
    std::vector<std::size_t> indices{};
    for (const auto exclude_slow : {true, false}) {
        for (std::size_t index = 0; index < rows.size(); ++index) {
            if (has_capacity(rows[index], options) &&
                !(exclude_slow && internal::is_slow(rows[index], median, options))) {
                eligible.push_back(rows[index]);
                indices.push_back(index);
            }
        }
        if (!eligible.empty()) {
            break;
        }
    }
    if (eligible.empty()) {
        return std::nullopt;
    }
    if (prefix != 0U) {
        const auto bound = internal::mean_relative_load(eligible) * options.m_bounded_load;
        if (const auto holder = internal::least_loaded_holder(eligible, bound)) {
            return indices[*holder];
        }
        if (const auto successor = internal::first_in_rendezvous_order(eligible, prefix, bound)) {
            return indices[*successor];
        }
    }
    const auto chosen = internal::less_loaded_of_two(eligible, random);
    ensure(has_capacity(eligible[chosen], options), "a chosen backend server has capacity");
    return indices[chosen];
}

} // namespace rhubarbwharf::routing
