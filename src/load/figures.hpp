#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json/object.hpp>
#include <prometheus/summary.h>

#include "load/options.hpp"

namespace rhubarbwharf::load {

/*! @brief Estimates quantiles of a stream of durations. */
class quantiles {
public:
    quantiles();

    /*! @brief Adds a sample. */
    auto add(duration sample) -> void;

    /**
     * @brief Returns a quantile of the samples.
     * @param rank 0.5, 0.95 or 0.99; any other rank gives 0.
     * @return Milliseconds, rounded to microseconds; 0 without samples.
     */
    [[nodiscard]] auto at(double rank) const -> double;

private:
    prometheus::Summary m_summary;
    std::size_t m_sample_count{};
};

/*! @brief Processor time and memory used by one process. */
struct process_usage {
    /*! @brief User and system time since the process started. */
    duration m_processor_time{};
    std::uint64_t m_resident_bytes{};
};

/*! @brief Reads the usage of a process from `/proc`; all zero if the process does not exist. */
[[nodiscard]] auto read_process_usage(int pid) -> process_usage;

/**
 * @brief Writes the measurements of one benchmark case as a JSON line.
 * @param out Receives the line; flushed afterwards.
 * @param bench Name of the benchmark.
 * @param case_name Parameters of the case, as `key=value key=value`.
 * @param seed Seed of the random numbers of the run.
 * @param figures Measured values by name.
 */
auto write_figures(std::ostream& out, std::string_view bench, std::string_view case_name, std::uint64_t seed,
                   boost::json::object figures) -> void;

} // namespace rhubarbwharf::load
