#include <config/reader.hpp>

#include <algorithm>
#include <numeric>
#include <utility>

#include <config/form.hpp>

namespace rhubarbwharf::config::internal {

namespace {

[[nodiscard]] auto edit_distance(const std::string_view left, const std::string_view right) -> std::size_t {
    std::vector<std::size_t> row(right.size() + 1U);
    std::iota(row.begin(), row.end(), std::size_t{0});
    for (std::size_t line = 1; line <= left.size(); ++line) {
        auto diagonal = std::exchange(row[0], line);
        for (std::size_t column = 1; column <= right.size(); ++column) {
            const auto changed = diagonal + (left[line - 1U] == right[column - 1U] ? 0U : 1U);
            diagonal = row[column];
            row[column] = std::min({row[column] + 1U, row[column - 1U] + 1U, changed});
        }
    }
    return row.back();
}

[[nodiscard]] auto nearest(const std::string_view name, const std::vector<std::string_view>& known)
    -> std::string_view {
    const auto closer = [name](const std::string_view left, const std::string_view right) {
        return edit_distance(name, left) < edit_distance(name, right);
    };
    const auto found = std::ranges::min_element(known, closer);
    return found == known.end() ? std::string_view{} : *found;
}

} // namespace

reader::reader(const node& object, std::string path, const std::string_view file, std::vector<fault>& faults)
    : m_object{object}, m_path{std::move(path)}, m_file{file}, m_faults{faults} {}

auto reader::path_of(const std::string_view name) const -> std::string {
    return m_path.empty() ? std::string{name} : m_path + '.' + std::string{name};
}

auto reader::note(const code value, const node& where, std::string path, const std::string_view allowed) -> void {
    m_faults.push_back(fault{.m_code = value,
                             .m_file = std::string{m_file},
                             .m_line = where.m_line,
                             .m_key = std::move(path),
                             .m_value = where.m_text,
                             .m_allowed = std::string{allowed}});
}

auto reader::take(const std::string_view name, const kind wanted, const std::string_view wanted_text, const rule& rules)
    -> const node* {
    m_known.push_back(name);
    const auto has_name = [name](const auto& member) {
        return member.first == name;
    };
    const auto found = std::ranges::find_if(m_object.m_members, has_name);
    if (found == m_object.m_members.end()) {
        if (rules.m_required) {
            note(code::settings_missing_key, m_object, path_of(name), rules.m_meaning);
            m_faults.back().m_value.clear();
        }
        return nullptr;
    }
    if (found->second.m_kind != wanted) {
        note(code::settings_type, found->second, path_of(name), wanted_text);
        return nullptr;
    }
    return &found->second;
}

auto reader::field(const std::string_view name, std::string& value, const rule& rules) -> void {
    const auto* const found = take(name, kind::string, "a text", rules);
    if (found == nullptr) {
        return;
    }
    if (!has_form(rules.m_form, found->m_text)) {
        note(code::settings_range, *found, path_of(name), allowed(rules.m_form));
        return;
    }
    value = found->m_text;
}

auto reader::field(const std::string_view name, std::vector<std::string>& value, const rule& rules) -> void {
    const auto* const found = take(name, kind::array, "a list of texts", rules);
    if (found == nullptr) {
        return;
    }
    for (const auto& element : found->m_elements) {
        if (element.m_kind != kind::string) {
            note(code::settings_type, element, path_of(name), "a text");
        } else if (!has_form(rules.m_form, element.m_text)) {
            note(code::settings_range, element, path_of(name), allowed(rules.m_form));
        } else {
            value.push_back(element.m_text);
        }
    }
}

auto reader::field(const std::string_view name, bool& value, const rule& rules) -> void {
    if (const auto* const found = take(name, kind::boolean, "true or false", rules); found != nullptr) {
        value = found->m_boolean;
    }
}

auto reader::field(const std::string_view name, double& value, const rule& rules) -> void {
    const auto* const found = take(name, kind::number, "a number", rules);
    if (found == nullptr) {
        return;
    }
    if (found->m_number < rules.m_least || found->m_number > rules.m_most) {
        note(code::settings_range, *found, path_of(name), allowed(rules));
        return;
    }
    value = found->m_number;
}

auto reader::whole_number(const std::string_view name, std::uint64_t& value, const rule& rules) -> void {
    const auto* const found = take(name, kind::number, "a whole number", rules);
    if (found == nullptr) {
        return;
    }
    const auto in_range = found->m_number >= rules.m_least && found->m_number <= rules.m_most;
    if (!in_range) {
        note(code::settings_range, *found, path_of(name), allowed(rules));
        return;
    }
    if (!found->m_is_unsigned) {
        note(code::settings_type, *found, path_of(name), "a whole number");
        return;
    }
    value = found->m_unsigned;
}

auto reader::field(const std::string_view name, digest& value, const rule& rules) -> void {
    const auto* const found = take(name, kind::string, "a text", rules);
    if (found == nullptr) {
        return;
    }
    const auto read = digest_from_hex(found->m_text);
    if (!read) {
        note(code::settings_range, *found, path_of(name), "64 hexadecimal digits");
        return;
    }
    value = *read;
}

auto reader::field(const std::string_view name, role& value, const rule& rules) -> void {
    std::string text{};
    field(name, text, rules);
    value = text == "agent" ? role::agent : role::entry;
}

auto reader::finish() -> void {
    std::vector<std::string_view> seen{};
    for (const auto& [name, value] : m_object.m_members) {
        if (std::ranges::find(m_known, name) == m_known.end()) {
            const auto hint = nearest(name, m_known);
            note(code::settings_unknown_key, value, path_of(name), "nearest known key: " + path_of(hint));
        } else if (std::ranges::find(seen, name) != seen.end()) {
            note(code::settings_unknown_key, value, path_of(name), "each key once");
        }
        seen.push_back(name);
    }
}

} // namespace rhubarbwharf::config::internal
