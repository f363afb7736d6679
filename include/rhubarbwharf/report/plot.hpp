#pragma once

#include <string>
#include <vector>

#include <rhubarbwharf/report/fwd.hpp>

namespace rhubarbwharf::report {

/*! @brief What a plot shows. */
struct plot_options {
    std::string m_title{};
    /*! @brief Only records of this bench; empty for all. */
    std::string m_bench{};
    /*! @brief Field of the horizontal axis; a number. */
    std::string m_x_field{};
    /*! @brief Field of the vertical axis; a number. */
    std::string m_y_field{};
    /*! @brief Field by which lines are told apart; empty for one line. */
    std::string m_series_field{};
    /*! @brief Whether the axes are logarithmic; values of zero or less are then left out. */
    bool m_log_x{};
    bool m_log_y{};
};

/**
 * @brief Draws lines with a legend.
 * @param rows The records; those without both numbers are left out.
 * @param wanted What to show.
 * @return An SVG document of 720 by 420 pixels.
 */
[[nodiscard]] auto draw_plot(const std::vector<record>& records, const plot_options& options) -> std::string;

} // namespace rhubarbwharf::report
