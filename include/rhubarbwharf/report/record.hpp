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
    /*! @brief The value as text: strings without quotes, other values in JSON syntax. */
    std::string m_text{};
    /*! @brief The value as a number; empty if it is not numeric. */
    std::optional<double> m_number{};
};

/**
 * @brief One line of benchmark output, flattened into fields: `bench`, `case`, `seed` and each measured value.
 *
 * A case of the form `key=value key=value` also yields a field for each key, and one of the form `a/b/c` the fields
 * `case.1`, `case.2` and so on. Names of nested members of `case` and `figures` are joined with dots.
 */
struct record {
    std::vector<field> m_fields{};
};

/**
 * @brief Finds a field by name.
 * @param row The record.
 * @param name Name of the field.
 * @return The first field of that name, or null; valid as long as the record.
 */
[[nodiscard]] auto find(const record& row, std::string_view name) noexcept -> const field*;

/**
 * @brief Parses JSON lines; empty lines are skipped.
 * @param text One JSON object per line.
 * @return The records, or `bad_request` naming the first line that is not a JSON object.
 */
[[nodiscard]] auto parse(std::string_view text) -> result<std::vector<record>>;

/**
 * @brief Formats records as a Markdown table.
 * @param records The records.
 * @param bench Benchmark whose records are shown; empty for all.
 * @param columns Names of the fields to show, in order; empty for all fields of the first record except `bench`.
 * @return The table; empty if no record matches.
 */
[[nodiscard]] auto format_table(const std::vector<record>& records, std::string_view bench,
                                const std::vector<std::string>& columns) -> std::string;

} // namespace rhubarbwharf::report
