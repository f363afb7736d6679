#include <rhubarbwharf/config/node.hpp>

#include <algorithm>

#include <config/node_schema.hpp>
#include <config/parse.hpp>

namespace rhubarbwharf::config {

namespace internal {

namespace {

auto check_node(cross_check& check, const node_settings& values) -> void {
    const auto is_gateway = values.m_role == "gateway";
    const auto& listen = values.m_listen;
    check.require(!is_gateway || !listen.m_callers.empty(), "listen.callers", "", "set for role gateway");
    check.require(!is_gateway || !listen.m_directory.empty(), "listen.directory", "", "set for role gateway");
    check.require(is_gateway || !listen.m_bulk.empty(), "listen.bulk", "", "set for role loader");
    check.require(is_gateway || !values.m_runner.m_address.empty(), "runner.address", "", "set for role loader");
}

} // namespace

} // namespace internal

auto parse_node(const std::string_view text, const std::string_view file)
    -> std::variant<node_settings, std::vector<fault>> {
    return internal::parse_as<node_settings>(text, file, internal::check_node);
}

auto load_node(const std::string_view file) -> std::variant<node_settings, std::vector<fault>> {
    auto text = internal::read_file(file);
    if (auto* const faults = std::get_if<std::vector<fault>>(&text)) {
        return std::move(*faults);
    }
    return parse_node(std::get<std::string>(text), file);
}

auto is_node(const std::string_view file) -> bool {
    const auto text = internal::read_file(file);
    const auto* const whole = std::get_if<std::string>(&text);
    const auto read = whole == nullptr ? internal::read_outcome{} : internal::read(*whole);
    const auto names_role = [](const auto& member) {
        return member.first == "role" && (member.second.m_text == "gateway" || member.second.m_text == "loader");
    };
    return std::ranges::any_of(read.m_root.m_members, names_role);
}

} // namespace rhubarbwharf::config
