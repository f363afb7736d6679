#pragma once

#include <string>

#include <boost/leaf/result.hpp>

#include <rhubarbwharf/core/code.hpp>

namespace rhubarbwharf {

/*! @brief Error object that a failed `result` carries. */
struct error {
    code m_code{code::bad_request};
    /*! @brief What exactly was wrong, for a person; may be empty. */
    std::string m_detail{};
};

/*! @brief Value or error; errors are loaded as `rhubarbwharf::error`. */
template <typename Type>
using result = boost::leaf::result<Type>;

/**
 * @brief Makes a failed result.
 * @param value The numbered code.
 * @param detail What exactly was wrong.
 * @return An error id that converts to any `result`.
 */
[[nodiscard]] inline auto fail(const code value, std::string detail = {}) -> boost::leaf::error_id {
    return boost::leaf::new_error(error{value, std::move(detail)});
}

} // namespace rhubarbwharf
