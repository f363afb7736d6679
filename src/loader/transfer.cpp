#include <loader/transfer.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::loader::internal {

/*! @brief Characters of the piece states, indexed by `piece_state`. */
constexpr std::string_view state_characters = "-f+";

auto max_piece_bytes(const daemon& self) -> std::size_t {
    constexpr std::size_t unknown_piece_bytes = std::size_t{16} * 1024U * 1024U;
    const auto* const service = self.m_core.m_configuration
                                    ? fleet::find_service(*self.m_core.m_configuration, self.m_core.m_self.m_service)
                                    : nullptr;
    const auto bytes = service != nullptr && service->m_engine ? service->m_engine->m_piece_bytes : std::size_t{};
    return bytes == 0U ? unknown_piece_bytes : bytes;
}

auto staged_piece_limits(const daemon& self) -> net::call_limits {
    auto out = runner_call_limits();
    out.m_body_bytes = max_piece_bytes(self);
    return out;
}

auto origin_call_limits() -> net::call_limits {
    net::call_limits out{};
    out.m_total_time = piece_fetch_timeout;
    out.m_keep = false;
    return out;
}

auto parse_piece_states(const std::string_view text) -> std::vector<piece_state> {
    std::vector<piece_state> out(text.size(), piece_state::missing);
    for (std::size_t index = 0U; index < text.size(); ++index) {
        const auto state_index = state_characters.find(text[index]);
        if (state_index != std::string_view::npos) {
            out[index] = static_cast<piece_state>(state_index);
        }
    }
    return out;
}

auto format_piece_states(const std::vector<piece_state>& pieces) -> std::string {
    std::string out(pieces.size(), state_characters.front());
    for (std::size_t index = 0U; index < pieces.size(); ++index) {
        out[index] = state_characters[static_cast<std::size_t>(pieces[index])];
    }
    return out;
}

auto is_unanswered(const net::call_end& end, const net::http_response& response) noexcept -> bool {
    constexpr std::uint16_t status_too_many = 429U;
    constexpr std::uint16_t status_unavailable = 503U;
    return end.m_code != code::ok || response.m_status == status_too_many || response.m_status == status_unavailable;
}

auto judge_read(const net::call_end& end, const net::http_response& response, const digest* const expected)
    -> read_result {
    if (is_unanswered(end, response)) {
        return read_result::unanswered;
    }
    const auto is_intact =
        response.m_status == status_ok && expected != nullptr && sha256(response.m_body) == *expected;
    return is_intact ? read_result::intact : read_result::corrupt;
}

auto record_corrupt_piece(daemon& self, model_state& model, const std::size_t piece, const std::string& source)
    -> void {
    self.m_core.m_events.write("piece.spoilt", {{"model", model.m_name},
                                                {"version", static_cast<std::int64_t>(model.m_version)},
                                                {"piece", static_cast<std::int64_t>(piece)},
                                                {"from", source}});
    self.m_core.m_counters.add("pieces_spoilt_total");
    if (++model.m_corrupt_pieces >= fleet::max_corrupt_pieces) {
        model.m_manifest_request.m_requested = false;
    }
}

} // namespace rhubarbwharf::loader::internal
