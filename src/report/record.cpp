#include <rhubarbwharf/report/record.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/json.hpp>

namespace rhubarbwharf::report {

namespace internal {

namespace {

namespace json = boost::json;

constexpr int shown_digits = 4;

[[nodiscard]] auto number_of(const std::string_view text) noexcept -> std::optional<double> {
    double value{};
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    return parsed.ec == std::errc{} && parsed.ptr == end ? std::optional{value} : std::nullopt;
}

auto add_parts(record& row, const std::string& text) -> void {
    std::istringstream parts{text};
    std::size_t number = 0;
    for (std::string part; std::getline(parts, part, '/');) {
        const auto value = number_of(part);
        row.m_fields.push_back({"case." + std::to_string(++number), std::move(part), value});
    }
}

auto add_words(record& row, const std::string& text) -> void {
    if (text.find('/') != std::string::npos) {
        return add_parts(row, text);
    }
    std::istringstream words{text};
    for (std::string word; words >> word;) {
        const auto equals = word.find('=');
        if (equals != std::string::npos) {
            auto value = word.substr(equals + 1U);
            const auto number = number_of(value);
            row.m_fields.push_back({word.substr(0U, equals), std::move(value), number});
        }
    }
}

[[nodiscard]] auto joined(const std::string& outer, const std::string& inner) -> std::string {
    auto name = outer;
    name.append(outer.empty() ? "" : ".").append(inner);
    return name;
}

auto add_value(record& row, const std::string& name, const json::value& value) -> void {
    if (const auto* const object = value.if_object(); object != nullptr) {
        for (const auto& member : *object) {
            const auto key = std::string{member.key()};
            add_value(row, joined(name, key), member.value());
        }
        return;
    }
    if (const auto* const text = value.if_string(); text != nullptr) {
        row.m_fields.push_back({name, std::string{*text}, std::nullopt});
        return;
    }
    json::error_code reason{};
    const auto number = value.to_number<double>(reason);
    row.m_fields.push_back({name, json::serialize(value), reason ? std::nullopt : std::optional{number}});
}

[[nodiscard]] auto flatten(const json::object& object) -> record {
    record row{};
    for (const auto& member : object) {
        const auto key = std::string{member.key()};
        const auto is_open = key == "figures" || (key == "case" && member.value().is_object());
        add_value(row, is_open ? std::string{} : key, member.value());
        if (key == "case" && member.value().is_string()) {
            add_words(row, std::string{member.value().get_string()});
        }
    }
    return row;
}

[[nodiscard]] auto shown(const field& value) -> std::string {
    if (!value.m_number) {
        return value.m_text;
    }
    std::ostringstream text{};
    text.precision(shown_digits);
    const auto is_whole = *value.m_number == static_cast<double>(static_cast<std::int64_t>(*value.m_number));
    is_whole ? text << static_cast<std::int64_t>(*value.m_number) : text << *value.m_number;
    return text.str();
}

[[nodiscard]] auto is_of(const record& row, const std::string_view bench) noexcept -> bool {
    const auto* const found = find(row, "bench");
    return bench.empty() || (found != nullptr && found->m_text == bench);
}

[[nodiscard]] auto all_columns(const record& row) -> std::vector<std::string> {
    std::vector<std::string> names{};
    for (const auto& value : row.m_fields) {
        if (value.m_name != "bench") {
            names.push_back(value.m_name);
        }
    }
    return names;
}

auto write_row(std::ostringstream& page, const record& row, const std::vector<std::string>& columns) -> void {
    for (const auto& column : columns) {
        const auto* const found = find(row, column);
        page << "| " << (found == nullptr ? std::string{} : shown(*found)) << ' ';
    }
    page << "|\n";
}

auto write_head(std::ostringstream& page, const std::vector<std::string>& columns) -> void {
    for (const auto& column : columns) {
        page << "| " << column << ' ';
    }
    page << "|\n";
    for (std::size_t index = 0; index < columns.size(); ++index) {
        page << "|---";
    }
    page << "|\n";
}

} // namespace

} // namespace internal

auto find(const record& row, const std::string_view name) noexcept -> const field* {
    const auto found = std::ranges::find(row.m_fields, name, &field::m_name);
    return found == row.m_fields.end() ? nullptr : &*found;
}

auto parse(const std::string_view text) -> result<std::vector<record>> {
    std::vector<record> rows{};
    std::istringstream lines{std::string{text}};
    std::size_t number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++number;
        if (line.empty()) {
            continue;
        }
        boost::json::error_code reason{};
        const auto value = boost::json::parse(line, reason);
        if (reason || !value.is_object()) {
            return fail(code::bad_request, "line " + std::to_string(number) + " is no JSON object");
        }
        rows.push_back(internal::flatten(value.get_object()));
    }
    return rows;
}

auto table(const std::vector<record>& rows, const std::string_view bench, const std::vector<std::string>& columns)
    -> std::string {
    std::ostringstream page{};
    std::vector<std::string> shown = columns;
    bool has_head = false;
    for (const auto& row : rows) {
        if (!internal::is_of(row, bench)) {
            continue;
        }
        if (!has_head) {
            shown = shown.empty() ? internal::all_columns(row) : shown;
            internal::write_head(page, shown);
            has_head = true;
        }
        internal::write_row(page, row, shown);
    }
    return page.str();
}

} // namespace rhubarbwharf::report
