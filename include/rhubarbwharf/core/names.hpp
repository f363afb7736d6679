#pragma once

#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include <rhubarbwharf/core/id.hpp>

namespace rhubarbwharf {

/**
 * @brief Gives each name a dense id, in order of arrival.
 * @tparam Id An id type from core/id.hpp.
 */
template <typename Id>
class names {
public:
    /**
     * @brief Returns the id of a name, and gives it one if it has none.
     * @param name The name.
     * @return Its id.
     */
    auto emplace(const std::string_view name) -> Id {
        if (const auto found = m_ids.find(name); found != m_ids.end()) {
            return found->second;
        }
        const auto id = Id{static_cast<typename Id::value_type>(m_names.size())};
        m_ids.emplace(m_names.emplace_back(name), id);
        return id;
    }

    /**
     * @brief Looks a name up.
     * @param name The name.
     * @return Its id, or nothing.
     */
    [[nodiscard]] auto find(const std::string_view name) const -> std::optional<Id> {
        const auto found = m_ids.find(name);
        return found == m_ids.end() ? std::nullopt : std::optional<Id>{found->second};
    }

    /**
     * @brief Returns the name of an id.
     * @param id An id that this table gave.
     * @return The name; lives as long as the table.
     */
    [[nodiscard]] auto name(const Id id) const noexcept -> std::string_view { return m_names[id.value()]; }

    /*! @brief Returns the count of names. @return The count. */
    [[nodiscard]] auto size() const noexcept -> std::size_t { return m_names.size(); }

private:
    std::deque<std::string> m_names{};
    std::unordered_map<std::string_view, Id> m_ids{};
};

} // namespace rhubarbwharf
