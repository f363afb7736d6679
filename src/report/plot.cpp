#include <rhubarbwharf/report/plot.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>
#include <sstream>

#include <rhubarbwharf/report/record.hpp>

namespace rhubarbwharf::report {

namespace internal {

namespace {

constexpr double width_px = 720.0;
constexpr double height_px = 420.0;
constexpr double left_px = 80.0;
constexpr double right_px = 540.0;
constexpr double top_px = 40.0;
constexpr double bottom_px = 360.0;
constexpr double line_height_px = 18.0;
constexpr int tick_intervals = 5;
constexpr std::array<const char*, 8> series_colours{"#1b6ca8", "#c0392b", "#27864d", "#8e44ad",
                                                    "#d68910", "#117a8b", "#6e4b2a", "#444444"};

/*! @brief A data point, in the units of the plotted fields. */
struct point {
    double m_x{};
    double m_y{};
};

/*! @brief A named sequence of data points, drawn as one line. */
struct plot_series {
    std::string m_name{};
    std::vector<point> m_points{};
};

/*! @brief Maps a range of values to a range of pixel coordinates. */
struct axis {
    double m_min{};
    double m_max{};
    double m_start_px{};
    double m_end_px{};
    bool m_is_log{};
};

[[nodiscard]] auto to_scale(const axis& scale, const double value) -> double {
    return scale.m_is_log ? std::log10(value) : value;
}

[[nodiscard]] auto to_pixels(const axis& scale, const double value) -> double {
    const auto scaled_min = to_scale(scale, scale.m_min);
    const auto span = to_scale(scale, scale.m_max) - scaled_min;
    const auto fraction = span > 0.0 ? (to_scale(scale, value) - scaled_min) / span : 0.5;
    return scale.m_start_px + fraction * (scale.m_end_px - scale.m_start_px);
}

[[nodiscard]] auto value_at_fraction(const axis& scale, const double fraction) -> double {
    const auto scaled_min = to_scale(scale, scale.m_min);
    const auto value = scaled_min + fraction * (to_scale(scale, scale.m_max) - scaled_min);
    return scale.m_is_log ? std::pow(10.0, value) : value;
}

[[nodiscard]] auto escape(const std::string& text) -> std::string {
    std::string escaped{};
    for (const auto character : text) {
        if (character == '<') {
            escaped += "&lt;";
        } else if (character == '&') {
            escaped += "&amp;";
        } else {
            escaped += character;
        }
    }
    return escaped;
}

[[nodiscard]] auto find_or_add_series(std::vector<plot_series>& all_series, const std::string& name) -> plot_series& {
    const auto found = std::ranges::find(all_series, name, &plot_series::m_name);
    return found == all_series.end() ? all_series.emplace_back(plot_series{name, {}}) : *found;
}

[[nodiscard]] auto is_drawable(const plot_options& options, const point& position) noexcept -> bool {
    return (!options.m_log_x || position.m_x > 0.0) && (!options.m_log_y || position.m_y > 0.0);
}

[[nodiscard]] auto collect_series(const std::vector<record>& records, const plot_options& options)
    -> std::vector<plot_series> {
    std::vector<plot_series> all_series{};
    for (const auto& row : records) {
        const auto* const bench = find(row, "bench");
        const auto* const x = find(row, options.m_x_field);
        const auto* const y = find(row, options.m_y_field);
        const auto is_excluded = !options.m_bench.empty() && (bench == nullptr || bench->m_text != options.m_bench);
        if (is_excluded || x == nullptr || y == nullptr || !x->m_number || !y->m_number) {
            continue;
        }
        const auto* const series_field = find(row, options.m_series_field);
        const point position{*x->m_number, *y->m_number};
        if (is_drawable(options, position)) {
            find_or_add_series(all_series, series_field == nullptr ? options.m_y_field : series_field->m_text)
                .m_points.push_back(position);
        }
    }
    for (auto& series : all_series) {
        std::ranges::stable_sort(series.m_points, {}, &point::m_x);
    }
    return all_series;
}

[[nodiscard]] auto make_axis(const std::vector<plot_series>& all_series, double point::*const coordinate,
                             const bool is_log) -> axis {
    axis scale{.m_min = std::numeric_limits<double>::max(), .m_max = std::numeric_limits<double>::lowest()};
    scale.m_is_log = is_log;
    for (const auto& series : all_series) {
        for (const auto& position : series.m_points) {
            scale.m_min = std::min(scale.m_min, position.*coordinate);
            scale.m_max = std::max(scale.m_max, position.*coordinate);
        }
    }
    if (all_series.empty()) {
        scale.m_min = is_log ? 1.0 : 0.0;
        scale.m_max = is_log ? 10.0 : 1.0;
    }
    if (!is_log) {
        scale.m_min = std::min(scale.m_min, 0.0);
    }
    return scale;
}

auto draw_text(std::ostringstream& svg, const double x, const double y, const std::string& text,
               const std::string_view anchor) -> void {
    svg << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << escape(text) << "</text>\n";
}

[[nodiscard]] auto format_tick(const double value) -> std::string {
    constexpr int significant_digits = 3;
    std::ostringstream text{};
    text.precision(significant_digits);
    text << value;
    return text.str();
}

auto draw_ticks(std::ostringstream& svg, const axis& x_axis, const axis& y_axis) -> void {
    for (int tick = 0; tick <= tick_intervals; ++tick) {
        const auto fraction = static_cast<double>(tick) / tick_intervals;
        const auto x = to_pixels(x_axis, value_at_fraction(x_axis, fraction));
        const auto y = to_pixels(y_axis, value_at_fraction(y_axis, fraction));
        svg << "<line x1=\"" << left_px << "\" x2=\"" << right_px << "\" y1=\"" << y << "\" y2=\"" << y
            << "\" stroke=\"#dddddd\"/>\n";
        draw_text(svg, x, bottom_px + line_height_px, format_tick(value_at_fraction(x_axis, fraction)), "middle");
        draw_text(svg, left_px - 6.0, y + 4.0, format_tick(value_at_fraction(y_axis, fraction)), "end");
    }
}

auto draw_series(std::ostringstream& svg, const plot_series& series, const axis& x_axis, const axis& y_axis,
                 const std::size_t index) -> void {
    const auto* const colour = series_colours[index % series_colours.size()];
    svg << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (const auto& position : series.m_points) {
        svg << to_pixels(x_axis, position.m_x) << ',' << to_pixels(y_axis, position.m_y) << ' ';
    }
    svg << "\"/>\n";
    for (const auto& position : series.m_points) {
        svg << "<circle r=\"3\" fill=\"" << colour << "\" cx=\"" << to_pixels(x_axis, position.m_x) << "\" cy=\""
            << to_pixels(y_axis, position.m_y) << "\"/>\n";
    }
    const auto y = top_px + line_height_px * static_cast<double>(index);
    svg << "<rect x=\"" << right_px + 14.0 << "\" y=\"" << y - 9.0 << "\" width=\"10\" height=\"10\" fill=\"" << colour
        << "\"/>\n";
    draw_text(svg, right_px + 30.0, y, series.m_name, "start");
}

} // namespace

} // namespace internal

auto draw_plot(const std::vector<record>& records, const plot_options& options) -> std::string {
    const auto all_series = internal::collect_series(records, options);
    auto x_axis = internal::make_axis(all_series, &internal::point::m_x, options.m_log_x);
    auto y_axis = internal::make_axis(all_series, &internal::point::m_y, options.m_log_y);
    x_axis.m_start_px = internal::left_px;
    x_axis.m_end_px = internal::right_px;
    y_axis.m_start_px = internal::bottom_px;
    y_axis.m_end_px = internal::top_px;
    std::ostringstream svg{};
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << internal::width_px << "\" height=\""
        << internal::height_px << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
        << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    internal::draw_text(svg, internal::left_px, internal::top_px / 2.0, options.m_title, "start");
    internal::draw_ticks(svg, x_axis, y_axis);
    internal::draw_text(svg, (internal::left_px + internal::right_px) / 2.0, internal::bottom_px + 40.0,
                        options.m_x_field, "middle");
    internal::draw_text(svg, internal::left_px, internal::top_px - 6.0, options.m_y_field, "end");
    for (std::size_t index = 0; index < all_series.size(); ++index) {
        internal::draw_series(svg, all_series[index], x_axis, y_axis, index);
    }
    svg << "</svg>\n";
    return svg.str();
}

} // namespace rhubarbwharf::report
