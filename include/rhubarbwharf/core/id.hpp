#pragma once

#include <compare>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <functional>

#include <rhubarbwharf/core/fwd.hpp>

namespace rhubarbwharf {

/**
 * @brief Number that can't be mixed up with a number of another kind.
 * @tparam Tag Type that tells the kinds apart.
 * @tparam Value Unsigned integer that holds the number.
 */
template <typename Tag, typename Value>
class basic_id {
    static_assert(std::unsigned_integral<Value>, "an id holds an unsigned integer");

public:
    using value_type = Value;

    constexpr basic_id() noexcept = default;

    /*! @brief Wraps a plain number. @param value The number. */
    explicit constexpr basic_id(const Value value) noexcept : m_value{value} {}

    /*! @brief Returns the plain number. @return The number. */
    [[nodiscard]] constexpr auto value() const noexcept -> Value { return m_value; }

    /*! @brief Orders ids by number. */
    [[nodiscard]] constexpr auto operator<=>(const basic_id&) const noexcept = default;

private:
    Value m_value{};
};

/*! @brief Dense index of an instance in the tables of one process. */
using instance_id = basic_id<struct instance_tag, std::uint32_t>;
/*! @brief Dense index of an organisation in the tables of one process. */
using organisation_id = basic_id<struct organisation_tag, std::uint32_t>;
/*! @brief Dense index of a region in the tables of one process. */
using region_id = basic_id<struct region_tag, std::uint32_t>;
/*! @brief Dense index of a data centre in the tables of one process. */
using data_centre_id = basic_id<struct data_centre_tag, std::uint32_t>;
/*! @brief Number of a ticket; zero stands for none. */
using ticket_number = basic_id<struct ticket_tag, std::uint64_t>;
/*! @brief Number that grows with each change of owner; zero stands for none. */
using fencing_token = basic_id<struct fencing_tag, std::uint64_t>;
/*! @brief Number that an entry gives a request; unique with the entry's name and incarnation. */
using request_id = basic_id<struct request_tag, std::uint64_t>;
/*! @brief Number of a shard of the idempotency keys. */
using shard_id = basic_id<struct shard_tag, std::uint32_t>;

} // namespace rhubarbwharf

/*! @brief Hashes ids for the standard containers. */
template <typename Tag, typename Value>
struct std::hash<rhubarbwharf::basic_id<Tag, Value>> {
    [[nodiscard]] auto operator()(const rhubarbwharf::basic_id<Tag, Value> id) const noexcept -> std::size_t {
        return std::hash<Value>{}(id.value());
    }
};
