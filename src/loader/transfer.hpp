#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/loader/plan.hpp>

#include <loader/daemon.hpp>

namespace rhubarbwharf::loader::internal {

constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_success_end = 300U;
/*! @brief Field in which a loader tells the state of each piece, a letter each. */
constexpr std::string_view pieces_held_header = "Pieces-Held";
/*! @brief Field in which a loader tells the version that its runner holds. */
constexpr std::string_view version_held_header = "Version-Held";

/*! @brief Time for one piece: its bytes at a tenth of the link's rate. */
inline constexpr duration piece_fetch_timeout = std::chrono::milliseconds{2'500};
/*! @brief Time between questions to peers about what they have. */
inline constexpr duration peer_query_interval = std::chrono::milliseconds{120};
/*! @brief Time for a peer to say what it has. */
inline constexpr duration peer_call_timeout = std::chrono::milliseconds{800};

/*! @brief Limits of a call to the origin, which takes few connections: none is kept. @return The limits. */
[[nodiscard]] auto origin_call_limits() -> net::call_limits;

/*! @brief Stages the pieces that came before the manifest, as far as they are right. @param self The loader.
 * @param model The model. */
auto verify_pending_pieces(daemon& self, model_state& model) -> void;

/*! @brief Field in which a loader tells that its runner has been told to load and has not yet. */
constexpr std::string_view version_loading_header = "Version-Loading";
constexpr std::string_view loading_yes = "yes";

/*! @brief Reads a `has_field`. @param text Its value. @return The states. */
[[nodiscard]] auto parse_piece_states(std::string_view text) -> std::vector<piece_state>;

/*! @brief Writes a `has_field`. @param pieces The states. @return Its value. */
[[nodiscard]] auto format_piece_states(const std::vector<piece_state>& pieces) -> std::string;

/*! @brief Notes a piece that does not have its digest; after a few the manifest is asked for anew. @param self The
 * loader. @param model The model. @param piece The piece. @param from Who gave it, for the log. */
auto record_corrupt_piece(daemon& self, model_state& model, std::size_t piece, const std::string& from) -> void;

} // namespace rhubarbwharf::loader::internal
