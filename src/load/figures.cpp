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

constexpr auto run_time = std::chrono::hours{24};
constexpr int one_window = 1;
constexpr double one_second = 1'000'000.0;
constexpr double thousandths = 1'000.0;

[[nodiscard]] auto wanted_quantiles() -> prometheus::Summary::Quantiles {
    return {{0.5, 0.005}, {0.95, 0.001}, {0.99, 0.001}};
}

} // namespace internal

quantiles::quantiles() : m_summary{internal::wanted_quantiles(), internal::run_time, internal::one_window} {}

auto quantiles::add(const duration time) -> void {
    m_summary.Observe(std::chrono::duration<double, std::milli>{time}.count());
    ++m_count;
}

auto quantiles::at(const double share) const -> double {
    if (m_count == 0U) {
        return 0.0;
    }
    const auto collected = m_summary.Collect();
    const auto found =
        std::ranges::find(collected.summary.quantile, share, &prometheus::ClientMetric::Quantile::quantile);
    const auto value = found == collected.summary.quantile.end() ? 0.0 : found->value;
    return std::round(value * internal::thousandths) / internal::thousandths;
}

auto read_usage(const int process) -> usage {
    std::ifstream file{"/proc/" + std::to_string(process) + "/stat"};
    std::string text{};
    std::getline(file, text);
    const auto name_end = text.rfind(')');
    if (name_end == std::string::npos) {
        return {};
    }
    std::istringstream fields{text.substr(name_end + 1U)};
    constexpr auto skipped = 11;
    std::string ignored{};
    for (auto index = 0; index < skipped; ++index) {
        fields >> ignored;
    }
    std::uint64_t user{};
    std::uint64_t system{};
    fields >> user >> system;
    constexpr auto between = 8;
    for (auto index = 0; index < between; ++index) {
        fields >> ignored;
    }
    std::uint64_t pages{};
    fields >> pages;
    const auto ticks = static_cast<double>(sysconf(_SC_CLK_TCK));
    const auto page_bytes = static_cast<std::uint64_t>(sysconf(_SC_PAGESIZE));
    const auto micros = static_cast<double>(user + system) / ticks * internal::one_second;
    return {duration{static_cast<duration::rep>(micros)}, pages * page_bytes};
}

auto write_line(std::ostream& out, const std::string_view bench, const std::string_view name, const std::uint64_t seed,
                boost::json::object figures) -> void {
    const boost::json::object line{{"bench", bench}, {"case", name}, {"seed", seed}, {"figures", std::move(figures)}};
    out << boost::json::serialize(line) << std::endl;
}

} // namespace rhubarbwharf::load
