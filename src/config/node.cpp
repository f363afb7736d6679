#include <config/node.hpp>

#include <boost/json/basic_parser_impl.hpp>

namespace rhubarbwharf::config::internal {

namespace {

constexpr std::size_t text_bytes_max = 1024U * 1024U;

/*! @brief Builds nodes from the parser's events; the line is set by whoever feeds the parser. */
struct handler {
    static constexpr std::size_t max_object_size = text_bytes_max;
    static constexpr std::size_t max_array_size = text_bytes_max;
    static constexpr std::size_t max_key_size = text_bytes_max;
    static constexpr std::size_t max_string_size = text_bytes_max;

    using error = boost::json::error_code;
    using view = boost::json::string_view;

    std::size_t m_line{1};
    node m_root{};
    /*! @brief Open arrays and objects, outermost first. */
    std::vector<node> m_open{};
    std::vector<std::string> m_keys{};
    std::string m_partial{};
    std::size_t m_partial_line{};

    auto add(node value) -> bool {
        if (m_open.empty()) {
            m_root = std::move(value);
            return true;
        }
        auto& parent = m_open.back();
        if (parent.m_kind == kind::array) {
            parent.m_elements.push_back(std::move(value));
            return true;
        }
        parent.m_members.emplace_back(std::move(m_keys.back()), std::move(value));
        m_keys.pop_back();
        return true;
    }

    auto open(const kind which) -> bool {
        m_open.push_back(node{.m_kind = which, .m_line = m_line});
        return true;
    }

    auto close() -> bool {
        auto value = std::move(m_open.back());
        m_open.pop_back();
        return add(std::move(value));
    }

    auto gather(const view part) -> bool {
        if (m_partial.empty()) {
            m_partial_line = m_line;
        }
        m_partial.append(part.data(), part.size());
        return true;
    }

    auto take(const view part) -> std::string {
        gather(part);
        return std::exchange(m_partial, {});
    }

    auto number(const view part, const double value, const bool is_unsigned, const std::uint64_t whole) -> bool {
        return add(node{.m_kind = kind::number,
                        .m_line = m_line,
                        .m_text = take(part),
                        .m_number = value,
                        .m_is_unsigned = is_unsigned,
                        .m_unsigned = whole});
    }

    // NOLINTBEGIN(readability-identifier-naming, misc-unused-parameters): Boost.JSON sets these names and parameters.
    auto on_document_begin(error&) -> bool { return true; }

    auto on_document_end(error&) -> bool { return true; }

    auto on_object_begin(error&) -> bool { return open(kind::object); }

    auto on_object_end(std::size_t, error&) -> bool { return close(); }

    auto on_array_begin(error&) -> bool { return open(kind::array); }

    auto on_array_end(std::size_t, error&) -> bool { return close(); }

    auto on_key_part(view part, std::size_t, error&) -> bool { return gather(part); }

    auto on_key(view part, std::size_t, error&) -> bool {
        m_keys.push_back(take(part));
        return true;
    }

    auto on_string_part(view part, std::size_t, error&) -> bool { return gather(part); }

    auto on_string(view part, std::size_t, error&) -> bool {
        auto text = take(part);
        return add(node{.m_kind = kind::string, .m_line = m_partial_line, .m_text = std::move(text)});
    }

    auto on_number_part(view part, error&) -> bool { return gather(part); }

    auto on_int64(std::int64_t value, view part, error&) -> bool {
        return number(part, static_cast<double>(value), value >= 0, static_cast<std::uint64_t>(value));
    }

    auto on_uint64(std::uint64_t value, view part, error&) -> bool {
        return number(part, static_cast<double>(value), true, value);
    }

    auto on_double(double value, view part, error&) -> bool { return number(part, value, false, 0U); }

    auto on_bool(bool value, error&) -> bool {
        return add(
            node{.m_kind = kind::boolean, .m_line = m_line, .m_text = value ? "true" : "false", .m_boolean = value});
    }

    auto on_null(error&) -> bool { return add(node{.m_kind = kind::null, .m_line = m_line, .m_text = "null"}); }

    auto on_comment_part(view, error&) -> bool { return true; }

    auto on_comment(view, error&) -> bool { return true; }

    // NOLINTEND(readability-identifier-naming, misc-unused-parameters)
};

using parser = boost::json::basic_parser<handler>;

[[nodiscard]] auto fault_at(const std::size_t line, const boost::json::error_code& reason) -> read_outcome {
    return {.m_read = false, .m_root = {}, .m_line = line, .m_message = reason.message()};
}

} // namespace

auto read(std::string_view text) -> read_outcome {
    boost::json::parse_options options{};
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    parser reader{options};
    boost::json::error_code reason{};
    auto& events = reader.handler();
    while (!text.empty()) {
        const auto length = std::min(text.find('\n'), text.size() - 1U) + 1U;
        const auto used = reader.write_some(true, text.data(), length, reason);
        // A chunk that ends at the start of a comment gives a count that is no position in it.
        const auto rest = text.substr(0U, length).substr(std::min(used, length));
        if (!reason && rest.find_first_not_of(" \t\r\n") != std::string_view::npos) {
            reason = boost::json::error::extra_data;
        }
        if (reason) {
            return fault_at(events.m_line, reason);
        }
        text.remove_prefix(length);
        ++events.m_line;
    }
    reader.write_some(false, "", 0U, reason);
    if (reason) {
        return fault_at(events.m_line - 1U, reason);
    }
    return {.m_read = true, .m_root = std::move(events.m_root), .m_line = 0U, .m_message = {}};
}

} // namespace rhubarbwharf::config::internal
