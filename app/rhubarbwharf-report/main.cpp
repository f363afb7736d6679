#include <iostream>
#include <iterator>
#include <sstream>

#include <boost/leaf/handle_errors.hpp>
#include <cxxopts.hpp>

#include <rhubarbwharf/report/plot.hpp>
#include <rhubarbwharf/report/record.hpp>

namespace {

namespace report = rhubarbwharf::report;

constexpr int status_usage = 2;

[[nodiscard]] auto make_parser() -> cxxopts::Options {
    cxxopts::Options parser{"rhubarbwharf-report",
                            "Reads JSON lines of the benches from standard input; writes a Markdown table, or with "
                            "--x-axis and --y-axis a plot as SVG."};
    auto add = parser.add_options();
    add("bench", "Only lines of this bench", cxxopts::value<std::string>()->default_value(""));
    add("columns", "Columns of the table, by commas", cxxopts::value<std::vector<std::string>>());
    add("x-axis", "Field of the horizontal axis", cxxopts::value<std::string>());
    add("y-axis", "Field of the vertical axis", cxxopts::value<std::string>());
    add("series", "Field that tells lines apart", cxxopts::value<std::string>()->default_value(""));
    add("title", "Title of the plot", cxxopts::value<std::string>()->default_value(""));
    add("log-x", "Logarithmic horizontal axis");
    add("log-y", "Logarithmic vertical axis");
    add("h,help", "Write this help");
    return parser;
}

[[nodiscard]] auto make_page(const std::vector<report::record>& rows, const cxxopts::ParseResult& given)
    -> std::string {
    const auto bench = given["bench"].as<std::string>();
    if (given.count("x-axis") != 0U && given.count("y-axis") != 0U) {
        return report::draw(rows, {.m_title = given["title"].as<std::string>(),
                                   .m_bench = bench,
                                   .m_x = given["x-axis"].as<std::string>(),
                                   .m_y = given["y-axis"].as<std::string>(),
                                   .m_series = given["series"].as<std::string>(),
                                   .m_log_x = given.count("log-x") != 0U,
                                   .m_log_y = given.count("log-y") != 0U});
    }
    std::vector<std::string> columns{};
    if (given.count("columns") != 0U) {
        columns = given["columns"].as<std::vector<std::string>>();
    }
    return report::table(rows, bench, columns);
}

[[nodiscard]] auto run(const cxxopts::ParseResult& given) -> int {
    const std::string text{std::istreambuf_iterator<char>{std::cin}, {}};
    return boost::leaf::try_handle_all(
        [&text, &given]() -> rhubarbwharf::result<int> {
            BOOST_LEAF_AUTO(rows, report::parse(text));
            std::cout << make_page(rows, given);
            return 0;
        },
        [](const rhubarbwharf::error& found) {
            std::cerr << "rhubarbwharf-report: " << found.m_detail << '\n';
            return status_usage;
        },
        [] { return status_usage; });
}

} // namespace

auto main(int count, char** values) -> int {
    auto parser = make_parser();
    try {
        const auto given = parser.parse(count, values);
        if (given.count("help") != 0U) {
            std::cout << parser.help();
            return 0;
        }
        return run(given);
    } catch (const cxxopts::exceptions::exception& fault) {
        std::cerr << "rhubarbwharf-report: " << fault.what() << '\n';
        return status_usage;
    }
}
