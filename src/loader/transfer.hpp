#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/digest.hpp>
#include <rhubarbwharf/loader/plan.hpp>

#include <loader/daemon.hpp>

namespace rhubarbwharf::loader::internal {

constexpr std::uint16_t status_ok = 200U;
/*! @brief First status after the successful ones. */
constexpr std::uint16_t status_success_end = 300U;
/*! @brief Header with the state of each piece, one character per piece. */
constexpr std::string_view pieces_held_header = "Pieces-Held";
/*! @brief Header with the version that the sender's runner holds. */
constexpr std::string_view version_held_header = "Version-Held";

/*! @brief Time limit of a piece fetch: the time for a piece at a tenth of the link's rate. */
inline constexpr duration piece_fetch_timeout = std::chrono::milliseconds{2'500};
/*! @brief Interval between queries for the pieces that peers hold. */
inline constexpr duration peer_query_interval = std::chrono::milliseconds{120};
/*! @brief Time limit of a query or a manifest request to a peer. */
inline constexpr duration peer_call_timeout = std::chrono::milliseconds{800};

/*! @brief Bytes of the body of a response that states what a peer holds in its headers. */
inline constexpr std::size_t max_answer_bytes = std::size_t{64} * 1024U;
/*! @brief Bytes of a manifest; the digests of 65,536 pieces in hexadecimal take 4.2 MiB. */
inline constexpr std::size_t max_manifest_bytes = std::size_t{8} * 1024U * 1024U;

/*! @brief Returns the bytes of a piece, by the configuration; of the largest version that gateways relay if it does not
 * say. */
[[nodiscard]] auto max_piece_bytes(const daemon& self) -> std::size_t;

/*! @brief Returns the limits of a call that reads a staged piece from the runner. */
[[nodiscard]] auto staged_piece_limits(const daemon& self) -> net::call_limits;

/*! @brief Returns the limits of a call to the origin. No connection is kept open, as the origin accepts few. */
[[nodiscard]] auto origin_call_limits() -> net::call_limits;

/*! @brief Updates the loaders and gateways that a model's manifest and pieces can be fetched from. */
auto refresh_sources(const daemon& self, model_state& model, time_point now) -> void;

/*! @brief Verifies the pieces that were received before the manifest, and stages the intact ones. */
auto verify_pending_pieces(daemon& self, model_state& model) -> void;

/*! @brief Header that states whether the sender's runner has been ordered to load and has not finished. */
constexpr std::string_view version_loading_header = "Version-Loading";
constexpr std::string_view loading_yes = "yes";

/*! @brief Parses the value of a `pieces_held_header`. */
[[nodiscard]] auto parse_piece_states(std::string_view text) -> std::vector<piece_state>;

/*! @brief Formats the value of a `pieces_held_header`. */
[[nodiscard]] auto format_piece_states(const std::vector<piece_state>& pieces) -> std::string;

/*! @brief What reading a staged piece shows. */
enum class read_result : std::uint8_t {
    intact,
    /*! @brief The piece is missing or has another digest. */
    corrupt,
    /*! @brief The runner gave no whole answer, or none now; the piece may be intact. */
    unanswered,
};

/*! @brief Judges the answer to the read of a staged piece. @param expected Digest of the piece; null if there is none.
 */
[[nodiscard]] auto judge_read(const net::call_end& end, const net::http_response& response, const digest* expected)
    -> read_result;

/*! @brief Checks whether the runner gave no whole answer, or says that it can't give one now. */
[[nodiscard]] auto is_unanswered(const net::call_end& end, const net::http_response& response) noexcept -> bool;

/*! @brief Logs and counts a piece with a wrong digest; after `fleet::max_corrupt_pieces` such pieces the manifest is
 * requested again, as it may be the corrupt part. @param source Source of the piece, for the log. */
auto record_corrupt_piece(daemon& self, model_state& model, std::size_t piece, const std::string& source) -> void;

} // namespace rhubarbwharf::loader::internal
