#pragma once

#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <config/node.hpp>
#include <config/schema.hpp>
#include <rhubarbwharf/config/load.hpp>

namespace rhubarbwharf::config::internal {

/*! @brief Reads the members of one JSON object into settings and notes every fault. */
class reader {
public:
    /**
     * @brief Begins an object.
     * @param object The object; outlives the reader.
     * @param path Path of the object's key; empty for the root.
     * @param file Name for the faults.
     * @param faults Where faults go; outlives the reader.
     */
    reader(const node& object, std::string path, std::string_view file, std::vector<fault>& faults);

    /*! @brief Reads a text. */
    auto field(std::string_view name, std::string& value, const rule& rules) -> void;
    /*! @brief Reads a list of texts. */
    auto field(std::string_view name, std::vector<std::string>& value, const rule& rules) -> void;
    /*! @brief Reads a truth value. */
    auto field(std::string_view name, bool& value, const rule& rules) -> void;
    /*! @brief Reads a fraction. */
    auto field(std::string_view name, double& value, const rule& rules) -> void;
    /*! @brief Reads a digest. */
    auto field(std::string_view name, digest& value, const rule& rules) -> void;
    /*! @brief Reads the role. */
    auto field(std::string_view name, role& value, const rule& rules) -> void;

    /*! @brief Reads a whole number. */
    template <typename Number>
    requires std::is_unsigned_v<Number>

    auto field(const std::string_view name, Number& value, const rule& rules) -> void {
        auto read = static_cast<std::uint64_t>(value);
        whole_number(name, read, rules);
        value = static_cast<Number>(read);
    }

    /*! @brief Reads an object. */
    template <typename Group>
    auto group(const std::string_view name, Group& values, const rule& rules) -> void {
        const auto* const found = take(name, kind::object, "an object", rules);
        if (found == nullptr) {
            return;
        }
        reader inner{*found, path_of(name), m_file, m_faults};
        visit(inner, values);
        inner.finish();
    }

    /*! @brief Reads a list of objects. */
    template <typename Row>
    auto list(const std::string_view name, std::vector<Row>& values, const rule& rules) -> void {
        const auto* const found = take(name, kind::array, "a list of objects", rules);
        if (found == nullptr) {
            return;
        }
        for (const auto& element : found->m_elements) {
            const auto path = path_of(name) + '[' + std::to_string(values.size()) + ']';
            if (element.m_kind != kind::object) {
                note(code::settings_type, element, path, "an object");
                continue;
            }
            reader inner{element, path, m_file, m_faults};
            visit(inner, values.emplace_back());
            inner.finish();
        }
    }

    /*! @brief Notes every key that no call has asked for, and every key that stands twice. */
    auto finish() -> void;

private:
    auto whole_number(std::string_view name, std::uint64_t& value, const rule& rules) -> void;
    [[nodiscard]] auto take(std::string_view name, kind wanted, std::string_view wanted_text, const rule& rules)
        -> const node*;
    [[nodiscard]] auto path_of(std::string_view name) const -> std::string;
    auto note(code value, const node& where, std::string path, std::string_view allowed) -> void;

    const node& m_object;
    std::string m_path;
    std::string_view m_file;
    std::vector<fault>& m_faults;
    std::vector<std::string_view> m_known{};
};

} // namespace rhubarbwharf::config::internal
