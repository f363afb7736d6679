#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include <rhubarbwharf/config/node.hpp>

namespace rhubarbwharf::config {

namespace {

[[nodiscard]] auto text_of(const std::string& name) -> std::string {
    std::ifstream stream{RHUBARBWHARF_SOURCE_DIR "/config/users-platform/" + name};
    std::ostringstream out{};
    out << stream.rdbuf();
    return out.str();
}

[[nodiscard]] auto replaced(std::string text, const std::string_view from, const std::string_view to) -> std::string {
    text.replace(text.find(from), from.size(), to);
    return text;
}

[[nodiscard]] auto fault_of(const std::string& text) -> std::string {
    const auto read = parse_node(text, "f");
    const auto* const faults = std::get_if<std::vector<fault>>(&read);
    return faults == nullptr ? std::string{} : to_string(faults->front());
}

} // namespace

TEST_CASE("settings of gateways and loaders are read whole") {
    const auto read = parse_node(text_of("gateway.json"), "f");
    REQUIRE(std::holds_alternative<node_settings>(read));
    const auto& gateway = std::get<node_settings>(read);
    CHECK(gateway.m_role == "gateway");
    CHECK(gateway.m_bounds.m_retry_slack == doctest::Approx(106.0));
    CHECK(gateway.m_seeds.size() == 3U);
    CHECK(std::holds_alternative<node_settings>(parse_node(text_of("loader.json"), "f")));
}

TEST_CASE("faulty settings name line, key, value and what is allowed") {
    const auto good = text_of("gateway.json");
    CHECK(fault_of(replaced(good, "\"gateway\"", "\"entry\"")) ==
          "f:3: settings_range: role = entry (allowed: gateway or loader)");
    CHECK(fault_of(replaced(good, "\"grace_ms\": 8000", "\"grace_ms\": 1")).find("bounds.grace_ms = 1") !=
          std::string::npos);
    CHECK(fault_of(replaced(good, "\"grace_ms\"", "\"grace\"")).find("settings_unknown_key") != std::string::npos);
    CHECK(fault_of(replaced(good, "\"callers\": \"10.1.0.40:8005\",", "")).find("listen.callers") != std::string::npos);
    CHECK(fault_of(replaced(text_of("loader.json"), "\"bulk\": \"10.1.0.43:7715\", ", "")).find("listen.bulk") !=
          std::string::npos);
}

} // namespace rhubarbwharf::config
