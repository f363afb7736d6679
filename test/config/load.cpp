#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include <rhubarbwharf/config/load.hpp>

namespace {

using rhubarbwharf::code;
namespace config = rhubarbwharf::config;

constexpr std::string_view good = R"({
  // An entry.
  "role": "entry", "instance": "entry-1", "region": "ost", "data_centre": "ost-1",
  "listen": {"callers": "127.0.0.1:0", "admin": "127.0.0.1:0", "bus": "127.0.0.1:0"},
  "platform": {"addresses": ["127.0.0.1:2379"]},
  "entries": [{"instance": "entry-1", "region": "ost", "data_centre": "ost-1",
               "bus": "127.0.0.1:7001", "callers": "127.0.0.1:7002"}],
  /* limits */
  "routing": {
    "max_attempts": 3
  }
})";

[[nodiscard]] auto replaced(std::string_view from, std::string_view to) -> std::string {
    std::string text{good};
    text.replace(text.find(from), from.size(), to);
    return text;
}

[[nodiscard]] auto first_fault(const std::string& text) -> config::fault {
    const auto outcome = config::parse(text, "file.json");
    const auto* const faults = std::get_if<std::vector<config::fault>>(&outcome);
    REQUIRE(faults != nullptr);
    REQUIRE(faults->size() == 1U);
    return faults->front();
}

} // namespace

TEST_CASE("settings with comments are read") {
    const auto outcome = config::parse(good, "file.json");
    const auto* const values = std::get_if<config::settings>(&outcome);
    REQUIRE(values != nullptr);
    CHECK(values->m_instance == "entry-1");
    CHECK(values->m_entries.at(0).m_bus == "127.0.0.1:7001");
    CHECK(values->m_routing.m_max_attempts == 3U);
    CHECK(values->m_routing.m_suspect_ms == 3'000U);
}

TEST_CASE("a fault names file, line, key, value and what is allowed") {
    const auto fault = first_fault(replaced("\"max_attempts\": 3", "\"max_attempts\": 30"));
    CHECK(fault.m_code == code::settings_range);
    CHECK(config::to_string(fault) == "file.json:10: settings_range: routing.max_attempts = 30 (allowed: 1 to 10)");
}

TEST_CASE("an unknown key is a fault that names the nearest known one") {
    const auto fault = first_fault(replaced("max_attempts", "max_atempts"));
    CHECK(fault.m_code == code::settings_unknown_key);
    CHECK(fault.m_line == 10U);
    CHECK(fault.m_allowed == "nearest known key: routing.max_attempts");
}

TEST_CASE("a wrong type, a missing key, a double key and an address that is none are faults") {
    CHECK(first_fault(replaced("\"max_attempts\": 3", "\"max_attempts\": 2.5")).m_code == code::settings_type);
    CHECK(first_fault(replaced("\"max_attempts\": 3", "\"max_attempts\": \"3\"")).m_code == code::settings_type);
    CHECK(first_fault(replaced("\"instance\": \"entry-1\", \"region\": \"ost\", \"data_centre\": \"ost-1\",\n  ",
                               "\"region\": \"ost\", \"data_centre\": \"ost-1\",\n  "))
              .m_code == code::settings_missing_key);
    CHECK(first_fault(replaced("\"max_attempts\": 3", "\"max_attempts\": 3, \"max_attempts\": 3")).m_code ==
          code::settings_unknown_key);
    CHECK(first_fault(replaced("127.0.0.1:2379", "localhost:2379")).m_code == code::settings_range);
}

TEST_CASE("text that is not JSON names the line") {
    const auto fault = first_fault(replaced("\"routing\": {", "\"routing\": ["));
    CHECK(fault.m_code == code::settings_syntax);
    CHECK(fault.m_line == 10U);
    CHECK(first_fault(std::string{good} + "\n{}").m_code == code::settings_syntax);
    CHECK(first_fault("").m_code == code::settings_syntax);
}

TEST_CASE("faults between keys are found") {
    CHECK(first_fault(replaced("\"callers\": \"127.0.0.1:0\", ", "")).m_key == "listen.callers");
    CHECK(first_fault(replaced("\"max_attempts\": 3", "\"report_ms\": 2000")).m_key == "routing.suspect_ms");
}

TEST_CASE("docs/CONFIG.md holds every key") {
    std::ifstream file{RHUBARBWHARF_SOURCE_DIR "/docs/CONFIG.md"};
    std::stringstream page{};
    page << file.rdbuf();
    CHECK(page.str() == config::reference());
}
