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

/*! @brief Kinds of journal records; the values match the protocol schema. */
enum class record_kind : std::uint8_t {
    /*! @brief The owner may start the call once this record is stored. */
    claim = 1,
    /*! @brief The call ran and its answer is known. */
    end = 2,
    /*! @brief The call of an earlier claim did not run; the key may be claimed again. */
    release = 3,
};

/*! @brief Stored answer of a call that ran. */
struct stored_answer {
    std::uint32_t m_status{};
    std::string m_content_type{};
    std::string m_body{};
    /*! @brief Whether the body was too large to be stored. */
    bool m_is_body_omitted{};

    [[nodiscard]] auto operator==(const stored_answer&) const noexcept -> bool = default;
};

/*! @brief Record of the journal. */
struct record {
    record_kind m_kind{record_kind::claim};
    call_key m_key{};
    /*! @brief Hash of the call's content; claims only. */
    call_key m_content{};
    /*! @brief When the key was created, in milliseconds since the Unix epoch; claims only. */
    std::uint64_t m_key_time_ms{};
    /*! @brief Answer of the call; ends only. */
    stored_answer m_answer{};
};

/*! @brief Part of a shard's journal that is stored as one value in the key-value service. */
struct segment {
    std::uint64_t m_number{};
    fencing_token m_token{};
    /*! @brief Instance and incarnation of the last writer. */
    std::string m_owner{};
    /*! @brief Sequence number of the owner's writes, which makes each value unique. */
    std::uint64_t m_write_number{};
    bool m_sealed{};
    std::vector<record> m_records{};
};

/*! @brief Segment with its revision in the key-value service. */
struct stored_segment {
    std::uint64_t m_revision{};
    segment m_segment{};
};

/**
 * @brief Encodes a segment without its records.
 * @return Bytes that, followed by those of `encode_records`, form the complete value.
 */
[[nodiscard]] auto encode_header(const segment& value) -> std::string;

/*! @brief Encodes records; the results of several calls may be concatenated. */
[[nodiscard]] auto encode_records(std::span<const record> records) -> std::string;

/*! @brief Decodes a segment with its records. @return Empty if malformed. */
[[nodiscard]] auto decode(std::string_view bytes) -> std::optional<segment>;

/**
 * @brief Returns the key under which a segment is stored.
 * @return `rhubarbwharf/journal/SERVICE/SHARD/SEGMENT`; the number is zero-padded to sort as text.
 */
[[nodiscard]] auto segment_key(std::string_view service, shard_id shard, std::uint64_t number) -> std::string;

/*! @brief Returns the common prefix of the keys of a shard's segments. */
[[nodiscard]] auto segment_prefix(std::string_view service, shard_id shard) -> std::string;

/*! @brief Returns the key that the owner of a shard holds. @return `rhubarbwharf/owner/SERVICE/SHARD`. */
[[nodiscard]] auto owner_key(std::string_view service, shard_id shard) -> std::string;

/*! @brief Returns the common prefix of the owner keys of a service. */
[[nodiscard]] auto owner_prefix(std::string_view service) -> std::string;

} // namespace rhubarbwharf::execution
