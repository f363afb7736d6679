#include <rhubarbwharf/config/load.hpp>

#include <set>
#include <sstream>

#include <config/parse.hpp>

namespace rhubarbwharf::config {

namespace internal {

namespace {

auto check_role(cross_check& check, const settings& values) -> void {
    if (values.m_role == role::entry) {
        check.require(!values.m_listen.m_callers.empty(), "listen.callers", "", "set for role entry");
        return;
    }
    check.require(!values.m_listen.m_bulk.empty(), "listen.bulk", "", "set for role agent");
    check.require(!values.m_backend.m_address.empty(), "backend.address", "", "set for role agent");
    check.require(!values.m_backend.m_group.empty(), "backend.group", "", "set for role agent");
    if (!values.m_backend.m_plain_service) {
        const auto& weights = values.m_distribution;
        check.require(!weights.m_origin.empty(), "distribution.origin", "", "set for an agent beside an engine");
        check.require(!weights.m_origin_region.empty(), "distribution.origin_region", "",
                      "set for an agent beside an engine");
    }
}

auto check_names(cross_check& check, const settings& values) -> void {
    std::set<std::string_view> names{};
    for (const auto& entry : values.m_entries) {
        check.require(names.insert(entry.m_instance).second, "entries", entry.m_instance, "each instance once");
    }
    names.clear();
    std::set<digest> keys{};
    for (const auto& organisation : values.m_organisations) {
        check.require(names.insert(organisation.m_name).second, "organisations", organisation.m_name, "each name once");
        check.require(keys.insert(organisation.m_key_sha256).second, "organisations", organisation.m_name,
                      "a key of its own");
    }
    for (const auto& person : values.m_operators) {
        check.require(!keys.contains(person.m_key_sha256), "operators", person.m_name,
                      "a key that no organisation has");
    }
}

auto check_times(cross_check& check, const settings& values) -> void {
    constexpr std::uint64_t ms_per_s = 1'000;
    const auto& execution = values.m_execution;
    check.require(2U * execution.m_lease_margin_ms <= ms_per_s * execution.m_lease_s, "execution.lease_margin_ms",
                  std::to_string(execution.m_lease_margin_ms), "at most half of execution.lease_s");
    check.require(values.m_routing.m_suspect_ms >= 2U * values.m_routing.m_report_ms, "routing.suspect_ms",
                  std::to_string(values.m_routing.m_suspect_ms), "at least twice routing.report_ms");
    check.require(execution.m_answer_bytes * 2U <= execution.m_segment_bytes, "execution.answer_bytes",
                  std::to_string(execution.m_answer_bytes), "at most half of execution.segment_bytes");
}

auto check_between(cross_check& check, const settings& values) -> void {
    check_role(check, values);
    check_names(check, values);
    check_times(check, values);
}

} // namespace

} // namespace internal

auto to_string(const fault& value) -> std::string {
    std::ostringstream text{};
    text << value.m_file;
    if (value.m_line != 0U) {
        text << ':' << value.m_line;
    }
    text << ": " << describe(value.m_code).m_name;
    if (!value.m_key.empty()) {
        text << ": " << value.m_key;
    }
    if (!value.m_value.empty()) {
        text << " = " << value.m_value;
    }
    if (!value.m_allowed.empty()) {
        text << " (allowed: " << value.m_allowed << ')';
    }
    return text.str();
}

auto parse(const std::string_view text, const std::string_view file) -> std::variant<settings, std::vector<fault>> {
    return internal::parse_as<settings>(text, file, internal::check_between);
}

auto load(const std::string_view file) -> std::variant<settings, std::vector<fault>> {
    auto text = internal::read_file(file);
    if (auto* const faults = std::get_if<std::vector<fault>>(&text)) {
        return std::move(*faults);
    }
    return parse(std::get<std::string>(text), file);
}

} // namespace rhubarbwharf::config
