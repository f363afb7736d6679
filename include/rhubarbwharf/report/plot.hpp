#pragma once

#include <string>
#include <vector>

#include <rhubarbwharf/report/fwd.hpp>

namespace rhubarbwharf::report {

/*! @brief Selection of the records to plot, and the axes. */
struct plot_options {
    std::string m_title{};
    /*! @brief Benchmark whose records are plotted; empty for all. */
    std::string m_bench{};
    /*! @brief Name of the numeric field on the horizontal axis. */
    std::string m_x_field{};
    /*! @brief Name of the numeric field on the vertical axis. */
    std::string m_y_field{};
    /*! @brief Name of the field by which records are grouped into series; empty for a single series. */
    std::string m_series_field{};
    /*! @brief Whether an axis is logarithmic; points whose value on that axis is zero or negative are skipped. */
    bool m_log_x{};
    bool m_log_y{};
};

/**
 * @brief Draws a line chart with a legend.
 * @param records The records; those in which either axis field is missing or not a number are skipped.
 * @param options Selection and axes.
 * @return An SVG document of 720 by 420 pixels.
 */
[[nodiscard]] auto draw_plot(const std::vector<record>& records, const plot_options& options) -> std::string;

} // namespace rhubarbwharf::report
