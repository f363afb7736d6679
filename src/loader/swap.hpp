#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/loader/plan.hpp>

#include <loader/daemon.hpp>

namespace rhubarbwharf::loader::internal {

constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_made = 300U;
/*! @brief Field in which a loader tells the state of each piece, a letter each. */
constexpr std::string_view has_field = "Pieces-Held";
/*! @brief Field in which a loader tells the version that its runner holds. */
constexpr std::string_view held_field = "Version-Held";

/*! @brief Time for one piece: its bytes at a tenth of the link's rate. */
inline constexpr duration piece_time = std::chrono::milliseconds{2'500};
/*! @brief Time between questions to peers about what they have. */
inline constexpr duration ask_period = std::chrono::milliseconds{120};
/*! @brief Time for a peer to say what it has. */
inline constexpr duration ask_time = std::chrono::milliseconds{800};

/*! @brief Limits of a call to the origin, which takes few connections: none is kept. @return The limits. */
[[nodiscard]] auto origin_limits() -> net::call_limits;

/*! @brief Stages the pieces that came before the manifest, as far as they are right. @param self The loader.
 * @param model The model. */
auto check_early_pieces(daemon& self, model_state& model) -> void;

/*! @brief Field in which a loader tells that its runner has been told to load and has not yet. */
constexpr std::string_view loading_field = "Version-Loading";
constexpr std::string_view yes = "yes";

/*! @brief Reads a `has_field`. @param text Its value. @return The states. */
[[nodiscard]] auto states_of(std::string_view text) -> std::vector<piece_state>;

/*! @brief Writes a `has_field`. @param pieces The states. @return Its value. */
[[nodiscard]] auto written(const std::vector<piece_state>& pieces) -> std::string;

/*! @brief Notes a piece that does not have its digest; after a few the manifest is asked for anew. @param self The
 * loader. @param model The model. @param piece The piece. @param from Who gave it, for the log. */
auto note_spoilt(daemon& self, model_state& model, std::size_t piece, const std::string& from) -> void;

} // namespace rhubarbwharf::loader::internal
