#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/id.hpp>
#include <rhubarbwharf/execution/fwd.hpp>
#include <rhubarbwharf/execution/key.hpp>

namespace rhubarbwharf::execution {

/*! @brief Kinds of journal records; the numbers are those of the schema. */
enum class record_kind : std::uint8_t {
    /*! @brief The owner may start the call once this is written. */
    claim = 1,
    /*! @brief The call ran and its answer is known. */
    end = 2,
    /*! @brief The claim was given up before its call started; the key may be claimed again. */
    release = 3,
};

/*! @brief Answer of a call that ran. */
struct kept_answer {
    std::uint32_t m_status{};
    std::string m_content_type{};
    std::string m_body{};
    /*! @brief Whether the body was too large to keep. */
    bool m_is_cut{};

    [[nodiscard]] auto operator==(const kept_answer&) const noexcept -> bool = default;
};

/*! @brief One record of the journal. */
struct record {
    record_kind m_kind{record_kind::claim};
    call_key m_key{};
    /*! @brief Name of the call's content; claims only. */
    call_key m_content{};
    /*! @brief When the key was made, in milliseconds since the Unix epoch; claims only. */
    std::uint64_t m_key_time_ms{};
    /*! @brief Ends only. */
    kept_answer m_answer{};
};

/*! @brief One value of the journal. */
struct segment {
    std::uint64_t m_number{};
    fencing_token m_token{};
    /*! @brief Instance and incarnation of the owner that wrote it last. */
    std::string m_owner{};
    /*! @brief Counts the writes of one owner, so that no two values are alike. */
    std::uint64_t m_write{};
    bool m_sealed{};
    std::vector<record> m_records{};
};

/*! @brief A segment as it was read from the key-value service. */
struct stored_segment {
    std::uint64_t m_revision{};
    segment m_segment{};
};

/**
 * @brief Writes the fields of a segment but its records.
 * @param value The segment.
 * @return Bytes; followed by those of `encode_records` they are the whole value.
 */
[[nodiscard]] auto encode_header(const segment& value) -> std::string;

/*! @brief Writes records. @param records The records. @return Bytes, which may be appended to each other. */
[[nodiscard]] auto encode_records(std::span<const record> records) -> std::string;

/*! @brief Reads a segment. @param bytes A value of the journal. @return The segment, or nothing if malformed. */
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<segment>;

/**
 * @brief Names the key of a segment.
 * @param service The plain service.
 * @param shard The shard.
 * @param number The segment's number.
 * @return `rhubarbwharf/journal/SERVICE/SHARD/SEGMENT`, of which the number sorts as text.
 */
[[nodiscard]] auto segment_key(std::string_view service, shard_id shard, std::uint64_t number) -> std::string;

/*! @brief Names the prefix of a shard's segments. @param service The service. @param shard The shard. @return Prefix.
 */
[[nodiscard]] auto segment_prefix(std::string_view service, shard_id shard) -> std::string;

/*! @brief Names the key that the owner of a shard holds. @param service The service. @param shard The shard.
 * @return `rhubarbwharf/owner/SERVICE/SHARD`. */
[[nodiscard]] auto owner_key(std::string_view service, shard_id shard) -> std::string;

/*! @brief Names the prefix of the owners' keys of a service. @param service The service. @return The prefix. */
[[nodiscard]] auto owner_prefix(std::string_view service) -> std::string;

} // namespace rhubarbwharf::execution
