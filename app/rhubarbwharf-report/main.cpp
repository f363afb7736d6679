#include <iostream>
#include <iterator>
#include <sstream>

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <rhubarbwharf/report/plot.hpp>
#include <rhubarbwharf/report/record.hpp>

namespace {

namespace report = rhubarbwharf::report;

constexpr int exit_usage_error = 2;

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf-report",
                            "Reads the JSON lines of the benches from standard input and writes a Markdown table or, "
                            "with --x-axis and --y-axis, a plot in SVG format."};
    auto add = parser.add_options();
    add("bench", "Use only the lines of this bench; default: all", cxxopts::value<std::string>()->default_value(""));
    add("columns", "Fields shown as columns of the table, separated by commas; default: all",
        cxxopts::value<std::vector<std::string>>());
    add("x-axis", "Numeric field on the horizontal axis", cxxopts::value<std::string>());
    add("y-axis", "Numeric field on the vertical axis", cxxopts::value<std::string>());
    add("series", "Field whose values group the records into lines of the plot; default: no grouping",
        cxxopts::value<std::string>()->default_value(""));
    add("title", "Title of the plot", cxxopts::value<std::string>()->default_value(""));
    add("log-x", "Use a logarithmic horizontal axis");
    add("log-y", "Use a logarithmic vertical axis");
    add("h,help", "Write this help");
    return parser;
}

[[nodiscard]] auto render(const std::vector<report::record>& records, const cxxopts::ParseResult& options)
    -> std::string {
    const auto bench = options["bench"].as<std::string>();
    if (options.count("x-axis") != 0U && options.count("y-axis") != 0U) {
        return report::draw_plot(records, {.m_title = options["title"].as<std::string>(),
                                           .m_bench = bench,
                                           .m_x_field = options["x-axis"].as<std::string>(),
                                           .m_y_field = options["y-axis"].as<std::string>(),
                                           .m_series_field = options["series"].as<std::string>(),
                                           .m_log_x = options.count("log-x") != 0U,
                                           .m_log_y = options.count("log-y") != 0U});
    }
    std::vector<std::string> columns{};
    if (options.count("columns") != 0U) {
        columns = options["columns"].as<std::vector<std::string>>();
    }
    return report::format_table(records, bench, columns);
}

[[nodiscard]] auto run(const cxxopts::ParseResult& options) -> int {
    const std::string text{std::istreambuf_iterator<char>{std::cin}, {}};
    return boost::leaf::try_handle_all(
        [&text, &options]() -> rhubarbwharf::result<int> {
            BOOST_LEAF_AUTO(records, report::parse(text));
            std::cout << render(records, options);
            return 0;
        },
        [](const rhubarbwharf::error& failure) {
            std::cerr << "rhubarbwharf-report: " << failure.m_detail << '\n';
            return exit_usage_error;
        },
        [] { return exit_usage_error; });
}

} // namespace

auto main(int argc, char** argv) -> int {
    auto parser = make_parser();
    try {
        const auto options = parser.parse(argc, argv);
        if (options.count("help") != 0U) {
            std::cout << parser.help();
            return 0;
        }
        return run(options);
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << "rhubarbwharf-report: " << exception.what() << '\n';
        return exit_usage_error;
    }
}
