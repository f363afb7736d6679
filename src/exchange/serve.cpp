#include <algorithm>
#include <charconv>

#include <rhubarbwharf/core/assert.hpp>

#include "exchange/node.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr std::string_view manifests_path = "/v1/manifests/";
constexpr std::string_view weights_path = "/v1/weights/";
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_partial = 206;
constexpr duration busy_time = std::chrono::seconds{1};
constexpr std::size_t slice_bytes = 32U * 1024U;

struct span_of_bytes {
    std::uint64_t m_first{};
    std::uint64_t m_last{};
};

[[nodiscard]] auto read_number(std::string_view& text) -> std::optional<std::uint64_t> {
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return value;
}

/*! @brief Reads `bytes=A-B`; other forms of a range are not taken. */
[[nodiscard]] auto read_range(std::string_view text, const std::uint64_t size) -> std::optional<span_of_bytes> {
    constexpr std::string_view unit = "bytes=";
    if (!text.starts_with(unit)) {
        return std::nullopt;
    }
    text.remove_prefix(unit.size());
    const auto first = read_number(text);
    if (!first || !text.starts_with('-')) {
        return std::nullopt;
    }
    text.remove_prefix(1U);
    const auto last = read_number(text);
    if (!last || !text.empty() || *first > *last || *last >= size) {
        return std::nullopt;
    }
    return span_of_bytes{*first, *last};
}

auto refuse(const std::shared_ptr<net::responder>& to, const code value) -> void {
    to->respond(net::problem(value, outcome::not_run, {}, value == code::overloaded ? busy_time : duration{}));
}

[[nodiscard]] auto piece_of(const node& state, const version& entry, const std::uint32_t chunk) -> bytes {
    const auto found = state.m_chunks.find(entry.m_manifest->m_chunks[chunk]);
    ensure(found != state.m_chunks.end(), "the bytes of each held chunk are in memory");
    return found->second;
}

auto begin(node& state, const std::shared_ptr<upload>& item, net::http_response head) -> void {
    item->m_answer->on_close([weak = std::weak_ptr<upload>{item}] {
        if (const auto closed = weak.lock()) {
            closed->m_closed = true;
        }
    });
    item->m_answer->start(std::move(head));
    state.m_uploads.push_back(item);
    pump_uploads(state, steady_now());
}

/*! @brief Sends one chunk, as asked for by its bytes. */
auto answer_chunk(node& state, const digest& name, version& entry, const span_of_bytes& range,
                  const net::http_request& request, const std::shared_ptr<net::responder>& to) -> void {
    const auto region = net::find(request.m_headers, "X-Region");
    const auto remote = !region.empty() && region != state.m_region_name;
    const auto asker = state.m_names.find(net::find(request.m_headers, "X-Instance")).value_or(distribution::origin);
    const auto chunk = static_cast<std::uint32_t>(range.m_first / entry.m_manifest->m_chunk_bytes);
    const auto whole = distribution::range(*entry.m_manifest, chunk);
    if (range.m_last >= whole.m_first + whole.m_size) {
        refuse(to, code::bad_request);
        return;
    }
    const auto verdict = distribution::begin_upload(entry.m_swarm, chunk, asker, remote, entry.m_rules, steady_now());
    if (verdict != distribution::fetch_end::verified) {
        refuse(to, verdict == distribution::fetch_end::busy ? code::overloaded : code::not_found);
        return;
    }
    auto item = std::make_shared<upload>();
    item->m_version = name;
    item->m_answer = to;
    item->m_remote = remote;
    const auto body = piece_of(state, entry, chunk);
    const auto first = static_cast<std::size_t>(range.m_first - whole.m_first);
    const auto size = static_cast<std::size_t>(range.m_last - range.m_first + 1U);
    item->m_pieces.push_back(size == body->size() ? body
                                                  : std::make_shared<const std::string>(body->substr(first, size)));
    net::http_response head{};
    head.m_status = status_partial;
    head.m_headers.push_back({"Content-Range", "bytes " + std::to_string(range.m_first) + "-" +
                                                   std::to_string(range.m_last) + "/" +
                                                   std::to_string(entry.m_manifest->m_size_bytes)});
    begin(state, item, std::move(head));
}

/*! @brief Sends the whole version to the engine on the same machine; it is not paced. */
auto answer_whole(node& state, const digest& name, const version& entry, const std::shared_ptr<net::responder>& to)
    -> void {
    if (!entry.m_swarm.m_held.full()) {
        refuse(to, code::incomplete);
        return;
    }
    auto item = std::make_shared<upload>();
    item->m_version = name;
    item->m_answer = to;
    item->m_paced = false;
    for (std::uint32_t chunk = 0; chunk < entry.m_swarm.m_held.size(); ++chunk) {
        item->m_pieces.push_back(piece_of(state, entry, chunk));
    }
    net::http_response head{};
    head.m_status = status_ok;
    begin(state, item, std::move(head));
}

auto answer_weights(node& state, const digest& name, version& entry, const net::http_request& request,
                    const std::shared_ptr<net::responder>& to) -> void {
    const auto header = net::find(request.m_headers, "Range");
    if (header.empty()) {
        answer_whole(state, name, entry, to);
        return;
    }
    const auto range = read_range(header, entry.m_manifest->m_size_bytes);
    if (!range) {
        refuse(to, code::bad_request);
        return;
    }
    answer_chunk(state, name, entry, *range, request, to);
}

/*! @brief Sends up to a slice. @return The bytes sent; 0 if the reader has to catch up first. */
[[nodiscard]] auto send_slice(const node& state, upload& item) -> std::size_t {
    if (item.m_answer->pending() + slice_bytes > state.m_send_queue_bytes / 2U) {
        return 0;
    }
    const auto& piece = *item.m_pieces[item.m_piece];
    const auto size = std::min(slice_bytes, piece.size() - item.m_offset);
    item.m_answer->write(std::string_view{piece}.substr(item.m_offset, size));
    item.m_offset += size;
    if (item.m_offset == piece.size()) {
        item.m_pieces[item.m_piece].reset();
        ++item.m_piece;
        item.m_offset = 0;
    }
    return size;
}

[[nodiscard]] auto is_done(const upload& item) -> bool {
    return item.m_closed || item.m_piece == item.m_pieces.size();
}

/*! @brief Sends slices of each upload of one kind in turn until tokens or readers run out. */
auto pump(node& state, const bool paced, const bool remote, const time_point now) -> void {
    for (auto moved = true; moved;) {
        moved = false;
        const auto count = state.m_uploads.size();
        for (std::size_t step = 0; step < count; ++step) {
            const auto item = state.m_uploads[(state.m_next_upload + step) % count];
            if (item->m_paced != paced || item->m_remote != remote || is_done(*item)) {
                continue;
            }
            if (paced && distribution::available(state.m_upload_bucket, now) == 0U) {
                state.m_next_upload += step;
                return;
            }
            const auto size = send_slice(state, *item);
            moved = moved || size > 0U;
            if (paced) {
                distribution::take(state.m_upload_bucket, size);
                state.m_counts.add("exchange_sent_bytes", static_cast<double>(size),
                                   remote ? "other_region" : "region");
            }
        }
    }
}

auto end(node& state, const upload& item) -> void {
    if (!item.m_closed) {
        item.m_answer->finish();
    }
    const auto found = state.m_versions.find(item.m_version);
    if (!item.m_paced || found == state.m_versions.end()) {
        return;
    }
    const auto& swarm = found->second.m_swarm;
    const auto counted = item.m_remote ? swarm.m_link_uploads : swarm.m_uploads;
    if (counted > 0U) {
        distribution::end_upload(found->second.m_swarm, item.m_remote);
    }
}

} // namespace

auto answer(node& state, const net::http_request& request, const std::shared_ptr<net::responder>& to) -> void {
    const std::string_view target{request.m_target};
    const auto is_manifest = target.starts_with(manifests_path);
    if (!is_manifest && !target.starts_with(weights_path)) {
        refuse(to, code::not_found);
        return;
    }
    if (request.m_method != "GET") {
        refuse(to, code::method_not_allowed);
        return;
    }
    const auto name = digest_from_hex(target.substr(is_manifest ? manifests_path.size() : weights_path.size()));
    const auto found = name ? state.m_versions.find(*name) : state.m_versions.end();
    if (found == state.m_versions.end() || !found->second.m_manifest) {
        refuse(to, code::not_found);
        return;
    }
    if (is_manifest) {
        to->respond({status_ok, {{"Content-Type", "application/json"}}, found->second.m_text});
        return;
    }
    answer_weights(state, *name, found->second, request, to);
}

auto pump_uploads(node& state, const time_point now) -> void {
    if (state.m_uploads.empty()) {
        return;
    }
    pump(state, false, false, now);
    pump(state, true, true, now);
    pump(state, true, false, now);
    const auto items = state.m_uploads;
    std::erase_if(state.m_uploads, [](const std::shared_ptr<upload>& item) { return is_done(*item); });
    for (const auto& item : items) {
        if (is_done(*item)) {
            end(state, *item);
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
