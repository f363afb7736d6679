#include <algorithm>
#include <cmath>
#include <fstream>
#include <ostream>
#include <sstream>

#include <boost/json/serialize.hpp>
#include <unistd.h>

#include "load/figures.hpp"

namespace rhubarbwharf::load {

namespace internal {

// Longer than any run, so that quantiles cover all samples.
constexpr auto sample_max_age = std::chrono::hours{24};
constexpr int age_buckets = 1;
constexpr double microseconds_per_second = 1'000'000.0;
constexpr double rounding_steps_per_ms = 1'000.0;

[[nodiscard]] auto tracked_quantiles() -> prometheus::Summary::Quantiles {
    return {{0.5, 0.005}, {0.95, 0.001}, {0.99, 0.001}};
}

} // namespace internal

quantiles::quantiles() : m_summary{internal::tracked_quantiles(), internal::sample_max_age, internal::age_buckets} {}

auto quantiles::add(const duration sample) -> void {
    m_summary.Observe(std::chrono::duration<double, std::milli>{sample}.count());
    ++m_sample_count;
}

auto quantiles::at(const double rank) const -> double {
    if (m_sample_count == 0U) {
        return 0.0;
    }
    const auto collected = m_summary.Collect();
    const auto match =
        std::ranges::find(collected.summary.quantile, rank, &prometheus::ClientMetric::Quantile::quantile);
    const auto value = match == collected.summary.quantile.end() ? 0.0 : match->value;
    return std::round(value * internal::rounding_steps_per_ms) / internal::rounding_steps_per_ms;
}

auto read_process_usage(const int pid) -> process_usage {
    std::ifstream file{"/proc/" + std::to_string(pid) + "/stat"};
    std::string text{};
    std::getline(file, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return {};
    }
    std::istringstream fields{text.substr(name_end + 1U)};
    constexpr auto fields_before_utime = 11;
    std::string skipped_field{};
    for (auto index = 0; index < fields_before_utime; ++index) {
        fields >> skipped_field;
    }
    std::uint64_t user_ticks{};
    std::uint64_t system_ticks{};
    fields >> user_ticks >> system_ticks;
    constexpr auto fields_before_rss = 8;
    for (auto index = 0; index < fields_before_rss; ++index) {
        fields >> skipped_field;
    }
    std::uint64_t resident_pages{};
    fields >> resident_pages;
    const auto ticks_per_second = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto page_bytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    const auto microseconds =
        static_cast<double>(user_ticks + system_ticks) / ticks_per_second * internal::microseconds_per_second;
    return {duration{static_cast<duration::rep>(microseconds)}, resident_pages * page_bytes};
}

auto write_figures(std::ostream& out, const std::string_view bench, const std::string_view case_name,
                   const std::uint64_t seed, boost::json::object figures) -> void {
    const boost::json::object line{
        {"bench", bench}, {"case", case_name}, {"seed", seed}, {"figures", std::move(figures)}};
    out << boost::json::serialize(line) << std::endl;
}

} // namespace rhubarbwharf::load
