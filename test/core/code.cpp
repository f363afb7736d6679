#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

#include <doctest/doctest.h>

#include <rhubarbwharf/core/code.hpp>

TEST_CASE("every result code has its row in docs/RESULT_CODES.md") {
    std::ifstream file{RHUBARBWHARF_SOURCE_DIR "/docs/RESULT_CODES.md"};
    std::stringstream page{};
    page << file.rdbuf();
    std::size_t rows = 0;
    for (std::string line; std::getline(page, line);) {
        rows += line.starts_with("| ") && line[2] >= '0' && line[2] <= '9' ? 1U : 0U;
    }
    CHECK(rows == rhubarbwharf::code_table().size());
    for (const auto& row : rhubarbwharf::code_table()) {
        std::ostringstream expected{};
        expected << "| " << static_cast<int>(row.m_code) << " | `" << row.m_name << "` | " << row.m_http_status << " | "
                 << row.m_meaning << " |";
        CHECK_MESSAGE(page.str().find(expected.str()) != std::string::npos, expected.str());
    }
}

TEST_CASE("numbers ascend and are unique") {
    const auto table = rhubarbwharf::code_table();
    CHECK(std::ranges::is_sorted(table, std::ranges::less_equal{}, &rhubarbwharf::code_info::m_code));
}
