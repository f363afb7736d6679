#include <algorithm>
#include <filesystem>
#include <fstream>
#include <initializer_list>
#include <sstream>
#include <string>
#include <string_view>

#include <doctest/doctest.h>

namespace {

const std::filesystem::path source_directory{RHUBARBWHARF_SOURCE_DIR};

[[nodiscard]] auto read_file(const std::filesystem::path& path) -> std::string {
    std::ostringstream out{};
    out << std::ifstream{path}.rdbuf();
    return out.str();
}

/*! @brief Counts the places of a text in the sources below some directories. */
[[nodiscard]] auto count_in_sources(const std::initializer_list<std::string_view> directories,
                                    const std::string_view text) -> std::size_t {
    std::size_t out{};
    for (const auto directory : directories) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator{source_directory / directory}) {
            const auto is_source = entry.path().extension() == ".cpp" || entry.path().extension() == ".hpp";
            const auto content = is_source ? read_file(entry.path()) : std::string{};
            for (auto at = content.find(text); at != std::string::npos; at = content.find(text, at + text.size())) {
                ++out;
            }
        }
    }
    return out;
}

} // namespace

// A second reader of responses would go round the checks of this one.
TEST_CASE("responses are parsed in one place") {
    CHECK(count_in_sources({"src", "platform", "app", "include"}, "basic_parser<false>") == 1U);
    CHECK(count_in_sources({"src", "platform", "app", "include"}, "response_parser final") == 1U);
    for (const auto* const text : {"beast/http", "async_read", "async_receive", "read_some", "asio::read"}) {
        CAPTURE(text);
        const auto in_net = count_in_sources({"src/net"}, text);
        CHECK(count_in_sources({"src", "platform", "app", "include"}, text) == in_net);
    }
}
