#include <rhubarbwharf/report/record.hpp>

#include <algorithm>
#include <charconv>
#include <sstream>

#include <boost/json.hpp>

namespace rhubarbwharf::report {

namespace internal {

namespace {

namespace json = boost::json;

constexpr int significant_digits = 4;

[[nodiscard]] auto parse_number(const std::string_view text) noexcept -> std::optional<double> {
    double value{};
    const auto* const end = text.data() + text.size();
    const auto conversion = std::from_chars(text.data(), end, value);
    return conversion.ec == std::errc{} && conversion.ptr == end ? std::optional{value} : std::nullopt;
}

auto add_positional_fields(record& row, const std::string& text) -> void {
    std::istringstream segments{text};
    std::size_t position = 0;
    for (std::string segment; std::getline(segments, segment, '/');) {
        const auto value = parse_number(segment);
        row.m_fields.push_back({"case." + std::to_string(++position), std::move(segment), value});
    }
}

auto add_case_fields(record& row, const std::string& text) -> void {
    if (text.find('/') != std::string::npos) {
        return add_positional_fields(row, text);
    }
    std::istringstream pairs{text};
    for (std::string pair; pairs >> pair;) {
        const auto equals = pair.find('=');
        if (equals != std::string::npos) {
            auto value = pair.substr(equals + 1U);
            const auto number = parse_number(value);
            row.m_fields.push_back({pair.substr(0U, equals), std::move(value), number});
        }
    }
}

[[nodiscard]] auto join_names(const std::string& outer, const std::string& inner) -> std::string {
    auto name = outer;
    name.append(outer.empty() ? "" : ".").append(inner);
    return name;
}

auto add_fields(record& row, const std::string& name, const json::value& value) -> void {
    if (const auto* const object = value.if_object(); object != nullptr) {
        for (const auto& member : *object) {
            const auto key = std::string{member.key()};
            add_fields(row, join_names(name, key), member.value());
        }
        return;
    }
    if (const auto* const text = value.if_string(); text != nullptr) {
        row.m_fields.push_back({name, std::string{*text}, std::nullopt});
        return;
    }
    json::error_code parse_error{};
    const auto number = value.to_number<double>(parse_error);
    row.m_fields.push_back({name, json::serialize(value), parse_error ? std::nullopt : std::optional{number}});
}

[[nodiscard]] auto flatten(const json::object& object) -> record {
    record row{};
    for (const auto& member : object) {
        const auto key = std::string{member.key()};
        const auto is_inlined = key == "figures" || (key == "case" && member.value().is_object());
        add_fields(row, is_inlined ? std::string{} : key, member.value());
        if (key == "case" && member.value().is_string()) {
            add_case_fields(row, std::string{member.value().get_string()});
        }
    }
    return row;
}

[[nodiscard]] auto format_value(const field& value) -> std::string {
    if (!value.m_number) {
        return value.m_text;
    }
    std::ostringstream text{};
    text.precision(significant_digits);
    const auto is_integer = *value.m_number == static_cast<double>(static_cast<std::int64_t>(*value.m_number));
    is_integer ? text << static_cast<std::int64_t>(*value.m_number) : text << *value.m_number;
    return text.str();
}

[[nodiscard]] auto is_from_bench(const record& row, const std::string_view bench) noexcept -> bool {
    const auto* const match = find(row, "bench");
    return bench.empty() || (match != nullptr && match->m_text == bench);
}

[[nodiscard]] auto default_columns(const record& row) -> std::vector<std::string> {
    std::vector<std::string> names{};
    for (const auto& value : row.m_fields) {
        if (value.m_name != "bench") {
            names.push_back(value.m_name);
        }
    }
    return names;
}

auto write_row(std::ostringstream& output, const record& row, const std::vector<std::string>& columns) -> void {
    for (const auto& column : columns) {
        const auto* const match = find(row, column);
        output << "| " << (match == nullptr ? std::string{} : format_value(*match)) << ' ';
    }
    output << "|\n";
}

auto write_header(std::ostringstream& output, const std::vector<std::string>& columns) -> void {
    for (const auto& column : columns) {
        output << "| " << column << ' ';
    }
    output << "|\n";
    for (std::size_t index = 0; index < columns.size(); ++index) {
        output << "|---";
    }
    output << "|\n";
}

} // namespace

} // namespace internal

auto find(const record& row, const std::string_view name) noexcept -> const field* {
    const auto match = std::ranges::find(row.m_fields, name, &field::m_name);
    return match == row.m_fields.end() ? nullptr : &*match;
}

auto parse(const std::string_view text) -> result<std::vector<record>> {
    std::vector<record> records{};
    std::istringstream lines{std::string{text}};
    std::size_t line_number = 0;
    for (std::string line; std::getline(lines, line);) {
        ++line_number;
        if (line.empty()) {
            continue;
        }
        boost::json::error_code parse_error{};
        const auto value = boost::json::parse(line, parse_error);
        if (parse_error || !value.is_object()) {
            return fail(code::bad_request, "line " + std::to_string(line_number) + " is not a JSON object");
        }
        records.push_back(internal::flatten(value.get_object()));
    }
    return records;
}

auto format_table(const std::vector<record>& records, const std::string_view bench,
                  const std::vector<std::string>& columns) -> std::string {
    std::ostringstream output{};
    std::vector<std::string> selected = columns;
    bool has_header = false;
    for (const auto& row : records) {
        if (!internal::is_from_bench(row, bench)) {
            continue;
        }
        if (!has_header) {
            selected = selected.empty() ? internal::default_columns(row) : selected;
            internal::write_header(output, selected);
            has_header = true;
        }
        internal::write_row(output, row, selected);
    }
    return output.str();
}

} // namespace rhubarbwharf::report
