#include <algorithm>
#include <memory>
#include <string>
#include <utility>

#include <loader/read_back.hpp>
#include <loader/transfer.hpp>
#include <node/boot_clock.hpp>
#include <platform/encode.hpp>

namespace rhubarbwharf::loader::internal {

namespace {

/*! @brief Keeps what a read shows of a piece, for the proof of a load. */
auto record_read(model_state& model, const std::size_t piece, const read_result result, const time_point requested_at)
    -> void {
    if (result == read_result::intact) {
        record_intact(evidence_of(model, piece), requested_at, node::boot_now());
    } else if (result == read_result::corrupt) {
        evidence_of(model, piece).m_corrupt = true;
    }
}

/*! @brief Updates the smoothed time that the runner takes to return a staged piece. */
auto note_read_time(daemon& self, const duration took) -> void {
    constexpr auto weight = 4;
    auto& smoothed = self.m_staged_read_time;
    smoothed = smoothed == duration::zero() ? took : smoothed + (took - smoothed) / weight;
}

/*! @brief Reads staged pieces back, several at once if the runner is slow, and checks their digests. */
struct staged_reader : std::enable_shared_from_this<staged_reader> {
    daemon& m_self;
    std::string m_model{};
    std::uint64_t m_version{};
    std::vector<std::size_t> m_remaining{};
    std::size_t m_piece_count{};
    unsigned m_active_reads{};
    /*! @brief Not called if the version is no longer wanted. */
    std::function<void(const staged_pieces&)> m_on_done{};
    staged_pieces m_result{};

    explicit staged_reader(daemon& self) : m_self{self} {}

    /*! @brief Starts reads up to the limit, or ends if none is left. */
    auto read_more() -> void {
        const auto limit =
            std::min(concurrent_read_limit(m_self.m_staged_read_time, m_piece_count), m_self.m_max_concurrent_reads);
        while (!m_result.m_interrupted && !m_remaining.empty() && m_active_reads < limit) {
            const auto piece = m_remaining.back();
            m_remaining.pop_back();
            ++m_active_reads;
            read(piece);
        }
        if (m_active_reads == 0U) {
            m_self.m_max_concurrent_reads =
                adjust_read_limit(m_self.m_max_concurrent_reads, !m_result.m_interrupted, m_self.m_staged_read_time);
            m_on_done(m_result);
        }
    }

    auto read(const std::size_t piece) -> void {
        const auto requested_at = node::boot_now();
        m_self.m_core.m_http.fetch(m_self.m_runner, adapter::encode_stage_get(m_model, piece),
                                   staged_piece_limits(m_self),
                                   [self = shared_from_this(), piece, requested_at, began = steady_now()](
                                       const net::call_end& end, const net::http_response& response) {
                                       --self->m_active_reads;
                                       if (end.m_code == code::ok) {
                                           note_read_time(self->m_self, steady_now() - began);
                                       }
                                       self->on_piece(piece, requested_at, end, response);
                                   });
    }

    auto on_piece(const std::size_t piece, const time_point requested_at, const net::call_end& end,
                  const net::http_response& response) -> void {
        auto* const model = find_model(m_self, m_model, m_version);
        if (model == nullptr || !model->m_manifest) {
            return;
        }
        const auto& digests = model->m_manifest->m_digests;
        const auto result = judge_read(end, response, piece < digests.size() ? &digests[piece] : nullptr);
        record_read(*model, piece, result, requested_at);
        if (result != read_result::unanswered && response.m_status == status_ok && piece < m_result.m_digests.size()) {
            m_result.m_digests[piece] = sha256(response.m_body);
        }
        if (result == read_result::unanswered) {
            m_result.m_interrupted = true;
        } else {
            (result == read_result::intact ? m_result.m_valid : m_result.m_corrupt).push_back(piece);
        }
        read_more();
    }
};

} // namespace

auto read_back_pieces(daemon& self, const model_state& model, std::vector<std::size_t> pieces,
                      const std::size_t digest_count, std::function<void(const staged_pieces&)> on_done) -> void {
    auto reader = std::make_shared<staged_reader>(self);
    reader->m_result.m_digests.resize(digest_count);
    reader->m_model = model.m_name;
    reader->m_version = model.m_version;
    reader->m_piece_count = pieces.size();
    reader->m_remaining = std::move(pieces);
    reader->m_on_done = std::move(on_done);
    reader->read_more();
}

} // namespace rhubarbwharf::loader::internal
