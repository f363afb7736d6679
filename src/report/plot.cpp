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
constexpr double legend_px = 18.0;
constexpr int ticks = 5;
constexpr std::array<const char*, 8> colours{"#1b6ca8", "#c0392b", "#27864d", "#8e44ad",
                                             "#d68910", "#117a8b", "#6e4b2a", "#444444"};

/*! @brief A point of a line. */
struct point {
    double m_x{};
    double m_y{};
};

/*! @brief One line of a plot. */
struct line {
    std::string m_name{};
    std::vector<point> m_points{};
};

/*! @brief Range of an axis, and where it lies on the page. */
struct axis {
    double m_least{};
    double m_most{};
    double m_from_px{};
    double m_to_px{};
    bool m_log{};
};

[[nodiscard]] auto scaled(const axis& range, const double value) -> double {
    return range.m_log ? std::log10(value) : value;
}

[[nodiscard]] auto place(const axis& range, const double value) -> double {
    const auto least = scaled(range, range.m_least);
    const auto span = scaled(range, range.m_most) - least;
    const auto share = span > 0.0 ? (scaled(range, value) - least) / span : 0.5;
    return range.m_from_px + share * (range.m_to_px - range.m_from_px);
}

[[nodiscard]] auto value_at(const axis& range, const double share) -> double {
    const auto least = scaled(range, range.m_least);
    const auto value = least + share * (scaled(range, range.m_most) - least);
    return range.m_log ? std::pow(10.0, value) : value;
}

[[nodiscard]] auto escape(const std::string& text) -> std::string {
    std::string safe{};
    for (const auto letter : text) {
        if (letter == '<') {
            safe += "&lt;";
        } else if (letter == '&') {
            safe += "&amp;";
        } else {
            safe += letter;
        }
    }
    return safe;
}

[[nodiscard]] auto line_of(std::vector<line>& lines, const std::string& name) -> line& {
    const auto found = std::ranges::find(lines, name, &line::m_name);
    return found == lines.end() ? lines.emplace_back(line{name, {}}) : *found;
}

[[nodiscard]] auto is_shown(const plot& wanted, const point& where) noexcept -> bool {
    return (!wanted.m_log_x || where.m_x > 0.0) && (!wanted.m_log_y || where.m_y > 0.0);
}

[[nodiscard]] auto gather(const std::vector<record>& rows, const plot& wanted) -> std::vector<line> {
    std::vector<line> lines{};
    for (const auto& row : rows) {
        const auto* const bench = find(row, "bench");
        const auto* const x = find(row, wanted.m_x);
        const auto* const y = find(row, wanted.m_y);
        const auto is_other = !wanted.m_bench.empty() && (bench == nullptr || bench->m_text != wanted.m_bench);
        if (is_other || x == nullptr || y == nullptr || !x->m_number || !y->m_number) {
            continue;
        }
        const auto* const series = find(row, wanted.m_series);
        const point where{*x->m_number, *y->m_number};
        if (is_shown(wanted, where)) {
            line_of(lines, series == nullptr ? wanted.m_y : series->m_text).m_points.push_back(where);
        }
    }
    for (auto& each : lines) {
        std::ranges::stable_sort(each.m_points, {}, &point::m_x);
    }
    return lines;
}

[[nodiscard]] auto make_axis(const std::vector<line>& lines, double point::*const member, const bool log) -> axis {
    axis range{.m_least = std::numeric_limits<double>::max(), .m_most = std::numeric_limits<double>::lowest()};
    range.m_log = log;
    for (const auto& each : lines) {
        for (const auto& where : each.m_points) {
            range.m_least = std::min(range.m_least, where.*member);
            range.m_most = std::max(range.m_most, where.*member);
        }
    }
    if (lines.empty()) {
        range.m_least = log ? 1.0 : 0.0;
        range.m_most = log ? 10.0 : 1.0;
    }
    if (!log) {
        range.m_least = std::min(range.m_least, 0.0);
    }
    return range;
}

auto write_text(std::ostringstream& page, const double x, const double y, const std::string& text,
                const std::string_view anchor) -> void {
    page << "<text x=\"" << x << "\" y=\"" << y << "\" text-anchor=\"" << anchor << "\">" << escape(text)
         << "</text>\n";
}

[[nodiscard]] auto tick_text(const double value) -> std::string {
    constexpr int digits = 3;
    std::ostringstream text{};
    text.precision(digits);
    text << value;
    return text.str();
}

auto write_ticks(std::ostringstream& page, const axis& across, const axis& up) -> void {
    for (int tick = 0; tick <= ticks; ++tick) {
        const auto share = static_cast<double>(tick) / ticks;
        const auto x = place(across, value_at(across, share));
        const auto y = place(up, value_at(up, share));
        page << "<line x1=\"" << left_px << "\" x2=\"" << right_px << "\" y1=\"" << y << "\" y2=\"" << y
             << "\" stroke=\"#dddddd\"/>\n";
        write_text(page, x, bottom_px + legend_px, tick_text(value_at(across, share)), "middle");
        write_text(page, left_px - 6.0, y + 4.0, tick_text(value_at(up, share)), "end");
    }
}

auto write_line(std::ostringstream& page, const line& each, const axis& across, const axis& up, const std::size_t index)
    -> void {
    const auto* const colour = colours[index % colours.size()];
    page << "<polyline fill=\"none\" stroke-width=\"2\" stroke=\"" << colour << "\" points=\"";
    for (const auto& where : each.m_points) {
        page << place(across, where.m_x) << ',' << place(up, where.m_y) << ' ';
    }
    page << "\"/>\n";
    for (const auto& where : each.m_points) {
        page << "<circle r=\"3\" fill=\"" << colour << "\" cx=\"" << place(across, where.m_x) << "\" cy=\""
             << place(up, where.m_y) << "\"/>\n";
    }
    const auto y = top_px + legend_px * static_cast<double>(index);
    page << "<rect x=\"" << right_px + 14.0 << "\" y=\"" << y - 9.0 << "\" width=\"10\" height=\"10\" fill=\"" << colour
         << "\"/>\n";
    write_text(page, right_px + 30.0, y, each.m_name, "start");
}

} // namespace

} // namespace internal

auto draw(const std::vector<record>& rows, const plot& wanted) -> std::string {
    const auto lines = internal::gather(rows, wanted);
    auto across = internal::make_axis(lines, &internal::point::m_x, wanted.m_log_x);
    auto up = internal::make_axis(lines, &internal::point::m_y, wanted.m_log_y);
    across.m_from_px = internal::left_px;
    across.m_to_px = internal::right_px;
    up.m_from_px = internal::bottom_px;
    up.m_to_px = internal::top_px;
    std::ostringstream page{};
    page << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << internal::width_px << "\" height=\""
         << internal::height_px << "\" font-family=\"sans-serif\" font-size=\"12\">\n"
         << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    internal::write_text(page, internal::left_px, internal::top_px / 2.0, wanted.m_title, "start");
    internal::write_ticks(page, across, up);
    internal::write_text(page, (internal::left_px + internal::right_px) / 2.0, internal::bottom_px + 40.0, wanted.m_x,
                         "middle");
    internal::write_text(page, internal::left_px, internal::top_px - 6.0, wanted.m_y, "end");
    for (std::size_t index = 0; index < lines.size(); ++index) {
        internal::write_line(page, lines[index], across, up, index);
    }
    page << "</svg>\n";
    return page.str();
}

} // namespace rhubarbwharf::report
