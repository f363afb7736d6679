#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/fleet/fwd.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::fleet {

/*! @brief Model whose weights a backend server holds. */
struct held_model {
    std::string m_name{};
    std::uint64_t m_version{};
    /*! @brief Layers held of it, counted from the first; all if not told. */
    std::optional<std::uint64_t> m_layers{};

    [[nodiscard]] auto operator==(const held_model&) const noexcept -> bool = default;
};

/*! @brief A backend server, as it registered itself. */
struct backend_server {
    std::string m_id{};
    /*! @brief Start of this incarnation, Unix ms; the same id with another start is another incarnation. */
    std::uint64_t m_started{};
    std::string m_service{};
    net::endpoint m_address{};
    std::string m_data_centre{};
    unsigned m_slots{1};
    bool m_draining{false};
    /*! @brief Time for which it stays slow after its start. */
    duration m_cold{};
    std::vector<held_model> m_models{};
    /*! @brief Revision of the entry in the platform's store. */
    std::uint64_t m_revision{};
};

/*! @brief What a backend server says of its load and of its orders. */
struct load_report {
    std::uint64_t m_started{};
    std::vector<held_model> m_models{};
    /*! @brief Whether an order is in progress. */
    bool m_busy{false};
    /*! @brief Orders that it has accepted in this incarnation. */
    std::uint64_t m_orders{};
    unsigned m_waiting{};
    unsigned m_running{};
    /*! @brief Its times over the usual ones. */
    double m_pace{1.0};
};

/*! @brief Version of a model's weights that the operators want. */
struct weights_target {
    std::string m_model{};
    std::uint64_t m_version{1};
    /*! @brief When this process learned of it. */
    time_point m_learned{};
    /*! @brief Whether it was learned as it was written; else it may have been written later than `m_learned`. */
    bool m_exact{false};
};

/*! @brief Backend servers by id, merged by revision; a removal is remembered by its revision. */
struct servers {
    std::map<std::string, backend_server, std::less<>> m_rows{};
    /*! @brief Revisions of removals, so that older word from a peer brings nothing back. */
    std::map<std::string, std::uint64_t, std::less<>> m_removed{};
    std::uint64_t m_revision{};
};

/*! @brief Takes an entry over if it is newer than what is known. @param table The table. @param row The entry.
 * @return Whether the table changed. */
auto put(servers& table, backend_server row) -> bool;

/*! @brief Takes a removal over. @param table The table. @param id The server. @param revision Revision of the removal.
 * @return Whether the table changed. */
auto remove(servers& table, std::string_view id, std::uint64_t revision) -> bool;

/**
 * @brief Takes a whole listing over: rows that it lacks are removed.
 * @param table The table.
 * @param rows All entries.
 * @param revision Revision that the listing is at least as new as.
 * @return Ids of the rows that were dropped.
 */
auto merge_listing(servers& table, std::vector<backend_server> rows, std::uint64_t revision)
    -> std::vector<std::string>;

/*! @brief Digests ids and revisions, whatever their order. @param table The table. @return The digest. */
[[nodiscard]] auto fingerprint(const servers& table) noexcept -> std::uint64_t;

/**
 * @brief Returns the version of a model that a list names with all its layers.
 * @param models The list.
 * @param model The model.
 * @param layers Layers of the model.
 * @return The version; 0 if the model is not held whole.
 */
[[nodiscard]] auto version_of(const std::vector<held_model>& models, std::string_view model, unsigned layers)
    -> std::uint64_t;

} // namespace rhubarbwharf::fleet
