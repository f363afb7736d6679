#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/result.hpp>
#include <rhubarbwharf/report/fwd.hpp>

namespace rhubarbwharf::report {

/*! @brief One named value of a record. */
struct field {
    std::string m_name{};
    std::string m_text{};
    /*! @brief The value, if it is a number. */
    std::optional<double> m_number{};
};

/**
 * @brief One line of a bench, flat: `bench`, `case`, `seed` and all figures.
 *
 * A case in the form `key=value key=value` gives a field for each key as well, one in the form `a/b/c` the fields
 * `case.1`, `case.2` and so on; members of a case or of figures that
 * are objects are joined by a dot.
 */
struct record {
    std::vector<field> m_fields{};
};

/**
 * @brief Finds a field.
 * @param row The record.
 * @param name The name.
 * @return The first field of that name, or null; lives as long as the record.
 */
[[nodiscard]] auto find(const record& row, std::string_view name) noexcept -> const field*;

/**
 * @brief Reads JSON lines; empty lines are passed over.
 * @param text The lines.
 * @return The records, or `bad_request` with the number of the first line that is no JSON object.
 */
[[nodiscard]] auto parse(std::string_view text) -> result<std::vector<record>>;

/**
 * @brief Writes a Markdown table.
 * @param rows The records.
 * @param bench Only records of this bench; empty for all.
 * @param columns The fields to show, in this order; empty for all of the first record but `bench`.
 * @return The table.
 */
[[nodiscard]] auto format_table(const std::vector<record>& records, std::string_view bench,
                                const std::vector<std::string>& columns) -> std::string;

} // namespace rhubarbwharf::report
