#include <map>
#include <unordered_map>

#include <prometheus/counter.h>
#include <prometheus/family.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <rhubarbwharf/net/metrics.hpp>

namespace rhubarbwharf::net {

namespace internal {

constexpr std::string_view metric_prefix = "rhubarbwharf_";
constexpr std::string_view label_name = "kind";

/*! @brief Hashes text without making a string. */
struct text_hash {
    using is_transparent = void;

    [[nodiscard]] auto operator()(const std::string_view text) const noexcept -> std::size_t {
        return std::hash<std::string_view>{}(text);
    }
};

template <typename Metric>
using by_text = std::unordered_map<std::string, Metric, text_hash, std::equal_to<>>;

/*! @brief Metrics of one kind: a family by name, and in it a metric by label. */
template <typename Metric>
struct family_table {
    struct entry {
        prometheus::Family<Metric>* m_family{};
        by_text<Metric*> m_by_label{};
    };

    by_text<entry> m_entries{};

    [[nodiscard]] auto find(const std::string_view name, const std::string_view label) const -> Metric* {
        const auto family = m_entries.find(name);
        if (family == m_entries.end()) {
            return nullptr;
        }
        const auto metric = family->second.m_by_label.find(label);
        return metric == family->second.m_by_label.end() ? nullptr : metric->second;
    }

    template <typename Builder, typename... Arguments>
    auto emplace(prometheus::Registry& registry, Builder builder, const std::string_view name,
                 const std::string_view label, const Arguments&... arguments) -> Metric& {
        auto& known = m_entries[std::string{name}];
        if (known.m_family == nullptr) {
            known.m_family = &builder().Name(std::string{metric_prefix}.append(name)).Register(registry);
        }
        prometheus::Labels labels{};
        if (!label.empty()) {
            labels.emplace(label_name, label);
        }
        auto& metric = known.m_family->Add(labels, arguments...);
        known.m_by_label.emplace(label, &metric);
        return metric;
    }
};

[[nodiscard]] auto second_buckets() -> prometheus::Histogram::BucketBoundaries {
    return {0.0001, 0.00025, 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
            0.1,    0.25,    0.5,    1.0,   2.5,    5.0,   10.0, 60.0};
}

} // namespace internal

struct counters::state {
    prometheus::Registry m_registry{};
    internal::family_table<prometheus::Counter> m_counters{};
    internal::family_table<prometheus::Gauge> m_gauges{};
    internal::family_table<prometheus::Histogram> m_histograms{};
};

counters::counters() : m_state{std::make_unique<state>()} {}

counters::~counters() = default;

auto counters::add(const std::string_view name, const double amount, const std::string_view label) -> void {
    auto* metric = m_state->m_counters.find(name, label);
    if (metric == nullptr) {
        metric = &m_state->m_counters.emplace(m_state->m_registry, prometheus::BuildCounter, name, label);
    }
    metric->Increment(amount);
}

auto counters::set(const std::string_view name, const double value, const std::string_view label) -> void {
    auto* metric = m_state->m_gauges.find(name, label);
    if (metric == nullptr) {
        metric = &m_state->m_gauges.emplace(m_state->m_registry, prometheus::BuildGauge, name, label);
    }
    metric->Set(value);
}

auto counters::observe(const std::string_view name, const duration value) -> void {
    auto* metric = m_state->m_histograms.find(name, {});
    if (metric == nullptr) {
        metric = &m_state->m_histograms.emplace(m_state->m_registry, prometheus::BuildHistogram, name, {},
                                                internal::second_buckets());
    }
    metric->Observe(std::chrono::duration<double>{value}.count());
}

auto counters::value(const std::string_view name, const std::string_view label) const -> double {
    const auto* const metric = m_state->m_counters.find(name, label);
    return metric == nullptr ? 0.0 : metric->Value();
}

auto counters::text() const -> std::string {
    return prometheus::TextSerializer{}.Serialize(m_state->m_registry.Collect());
}

} // namespace rhubarbwharf::net
