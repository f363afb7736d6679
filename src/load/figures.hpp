#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <prometheus/summary.h>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief Quantiles of times, in milliseconds. */
class quantiles {
public:
    quantiles();

    /*! @brief Adds a sample. @param time The time. */
    auto add(duration sample) -> void;

    /**
     * @brief Returns a quantile.
     * @param share 0.5, 0.95 or 0.99.
     * @return Milliseconds; 0 without samples.
     */
    [[nodiscard]] auto at(double rank) const -> double;

private:
    prometheus::Summary m_summary;
    std::size_t m_sample_count{};
};

/*! @brief Processor time and memory of one process. */
struct process_usage {
    duration m_processor_time{};
    std::uint64_t m_resident_bytes{};
};

/*! @brief Reads what a process has used so far. @param process Its id. @return The usage; zero if it is gone. */
[[nodiscard]] auto read_process_usage(int pid) -> process_usage;

/**
 * @brief Writes one line of figures.
 * @param out Where to.
 * @param bench The bench.
 * @param name The case, as `key=value key=value`.
 * @param seed The seed.
 * @param figures The figures.
 */
auto write_figures(std::ostream& out, std::string_view bench, std::string_view case_name, std::uint64_t seed,
                   boost::json::object figures) -> void;

} // namespace rhubarbwharf::load
