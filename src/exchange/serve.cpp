#include <algorithm>
#include <charconv>

#include <rhubarbwharf/core/assert.hpp>

#include "exchange/state.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr std::string_view manifests_path = "/v1/manifests/";
constexpr std::string_view weights_path = "/v1/weights/";
constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_partial = 206;
constexpr duration busy_retry_after = std::chrono::seconds{1};
constexpr std::size_t max_slice_bytes = 32U * 1024U;

struct requested_range {
    std::uint64_t m_first{};
    std::uint64_t m_last{};
};

[[nodiscard]] auto parse_number(std::string_view& text) -> std::optional<std::uint64_t> {
    std::uint64_t value = 0;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), value);
    if (read.ec != std::errc{}) {
        return std::nullopt;
    }
    text.remove_prefix(static_cast<std::size_t>(read.ptr - text.data()));
    return value;
}

/*! @brief Parses `bytes=A-B`. @return Empty for any other form of a range, and for one that exceeds the content. */
[[nodiscard]] auto parse_range(std::string_view text, const std::uint64_t size) -> std::optional<requested_range> {
    constexpr std::string_view unit = "bytes=";
    if (!text.starts_with(unit)) {
        return std::nullopt;
    }
    text.remove_prefix(unit.size());
    const auto first = parse_number(text);
    if (!first || !text.starts_with('-')) {
        return std::nullopt;
    }
    text.remove_prefix(1U);
    const auto last = parse_number(text);
    if (!last || !text.empty() || *first > *last || *last >= size) {
        return std::nullopt;
    }
    return requested_range{*first, *last};
}

auto respond_error(const std::shared_ptr<net::responder>& responder, const code value) -> void {
    responder->respond(
        net::problem(value, outcome::not_run, {}, value == code::overloaded ? busy_retry_after : duration{}));
}

[[nodiscard]] auto chunk_content(const exchange_state& state, const version& entry, const std::uint32_t chunk)
    -> shared_bytes {
    const auto found = state.m_chunks.find(entry.m_manifest->m_chunks[chunk]);
    ensure(found != state.m_chunks.end(), "the bytes of each held chunk are in memory");
    return found->second;
}

auto start_upload(exchange_state& state, const std::shared_ptr<upload>& item, net::http_response head) -> void {
    item->m_responder->on_close([weak = std::weak_ptr<upload>{item}](net::close_reason) {
        if (const auto closed = weak.lock()) {
            closed->m_closed = true;
        }
    });
    item->m_responder->start(std::move(head));
    state.m_uploads.push_back(item);
    pump_uploads(state, steady_now());
}

/*! @brief Answers a range request, which must lie within a single chunk. */
auto serve_chunk(exchange_state& state, const digest& manifest, version& entry, const requested_range& range,
                 const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
    const auto region = net::find(request.m_headers, "X-Region");
    const auto remote = !region.empty() && region != state.m_local_region_name;
    const auto requester =
        state.m_instances.find(net::find(request.m_headers, "X-Instance")).value_or(distribution::origin);
    const auto chunk = static_cast<std::uint32_t>(range.m_first / entry.m_manifest->m_chunk_bytes);
    const auto chunk_range = distribution::chunk_range(*entry.m_manifest, chunk);
    if (range.m_last >= chunk_range.m_offset + chunk_range.m_size) {
        respond_error(responder, code::bad_request);
        return;
    }
    const auto admission =
        distribution::begin_upload(entry.m_swarm, chunk, requester, remote, entry.m_policy, steady_now());
    if (admission != distribution::fetch_result::verified) {
        respond_error(responder, admission == distribution::fetch_result::busy ? code::overloaded : code::not_found);
        return;
    }
    auto item = std::make_shared<upload>();
    item->m_version = manifest;
    item->m_responder = responder;
    item->m_remote = remote;
    const auto body = chunk_content(state, entry, chunk);
    const auto first = static_cast<std::size_t>(range.m_first - chunk_range.m_offset);
    const auto size = static_cast<std::size_t>(range.m_last - range.m_first + 1U);
    item->m_buffers.push_back(size == body->size() ? body
                                                   : std::make_shared<const std::string>(body->substr(first, size)));
    net::http_response head{};
    head.m_status = status_partial;
    head.m_headers.push_back({"Content-Range", "bytes " + std::to_string(range.m_first) + "-" +
                                                   std::to_string(range.m_last) + "/" +
                                                   std::to_string(entry.m_manifest->m_size_bytes)});
    start_upload(state, item, std::move(head));
}

/*! @brief Sends the complete version to the local engine, without rate limit. */
auto serve_version(exchange_state& state, const digest& manifest, const version& entry,
                   const std::shared_ptr<net::responder>& responder) -> void {
    if (!entry.m_swarm.m_held_chunks.full()) {
        respond_error(responder, code::incomplete);
        return;
    }
    auto item = std::make_shared<upload>();
    item->m_version = manifest;
    item->m_responder = responder;
    item->m_paced = false;
    for (std::uint32_t chunk = 0; chunk < entry.m_swarm.m_held_chunks.size(); ++chunk) {
        item->m_buffers.push_back(chunk_content(state, entry, chunk));
    }
    net::http_response head{};
    head.m_status = status_ok;
    start_upload(state, item, std::move(head));
}

auto serve_weights(exchange_state& state, const digest& manifest, version& entry, const net::http_request& request,
                   const std::shared_ptr<net::responder>& responder) -> void {
    const auto header = net::find(request.m_headers, "Range");
    if (header.empty()) {
        serve_version(state, manifest, entry, responder);
        return;
    }
    const auto range = parse_range(header, entry.m_manifest->m_size_bytes);
    if (!range) {
        respond_error(responder, code::bad_request);
        return;
    }
    serve_chunk(state, manifest, entry, *range, request, responder);
}

/*! @brief Sends the next slice of an upload. @return Bytes sent; 0 while the send queue is too full. */
[[nodiscard]] auto send_slice(const exchange_state& state, upload& item) -> std::size_t {
    if (item.m_responder->pending() + max_slice_bytes > state.m_send_queue_bytes / 2U) {
        return 0;
    }
    const auto& buffer = *item.m_buffers[item.m_buffer_index];
    const auto size = std::min(max_slice_bytes, buffer.size() - item.m_offset);
    item.m_responder->write(std::string_view{buffer}.substr(item.m_offset, size));
    item.m_offset += size;
    if (item.m_offset == buffer.size()) {
        item.m_buffers[item.m_buffer_index].reset();
        ++item.m_buffer_index;
        item.m_offset = 0;
    }
    return size;
}

[[nodiscard]] auto is_done(const upload& item) -> bool {
    return item.m_closed || item.m_buffer_index == item.m_buffers.size();
}

/*! @brief Sends slices of the matching uploads in turn until the rate limit or full send queues stop it. */
auto send_slices(exchange_state& state, const bool paced, const bool remote, const time_point now) -> void {
    for (auto progressed = true; progressed;) {
        progressed = false;
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
            progressed = progressed || size > 0U;
            if (paced) {
                distribution::consume(state.m_upload_bucket, size);
                state.m_counters.add("exchange_sent_bytes", static_cast<double>(size),
                                     remote ? "other_region" : "region");
            }
        }
    }
}

auto finish_upload(exchange_state& state, const upload& item) -> void {
    if (!item.m_closed) {
        item.m_responder->finish();
    }
    const auto found = state.m_versions.find(item.m_version);
    if (!item.m_paced || found == state.m_versions.end()) {
        return;
    }
    const auto& swarm = found->second.m_swarm;
    const auto active_uploads = item.m_remote ? swarm.m_active_link_uploads : swarm.m_active_uploads;
    if (active_uploads > 0U) {
        distribution::end_upload(found->second.m_swarm, item.m_remote);
    }
}

} // namespace

auto handle_request(exchange_state& state, const net::http_request& request,
                    const std::shared_ptr<net::responder>& responder) -> void {
    const std::string_view target{request.m_target};
    const auto is_manifest = target.starts_with(manifests_path);
    if (!is_manifest && !target.starts_with(weights_path)) {
        respond_error(responder, code::not_found);
        return;
    }
    if (request.m_method != "GET") {
        respond_error(responder, code::method_not_allowed);
        return;
    }
    const auto manifest = digest_from_hex(target.substr(is_manifest ? manifests_path.size() : weights_path.size()));
    const auto found = manifest ? state.m_versions.find(*manifest) : state.m_versions.end();
    if (found == state.m_versions.end() || !found->second.m_manifest) {
        respond_error(responder, code::not_found);
        return;
    }
    if (is_manifest) {
        responder->respond({status_ok, {{"Content-Type", "application/json"}}, found->second.m_manifest_text});
        return;
    }
    serve_weights(state, *manifest, found->second, request, responder);
}

auto pump_uploads(exchange_state& state, const time_point now) -> void {
    if (state.m_uploads.empty()) {
        return;
    }
    send_slices(state, false, false, now);
    send_slices(state, true, true, now);
    send_slices(state, true, false, now);
    const auto items = state.m_uploads;
    std::erase_if(state.m_uploads, [](const std::shared_ptr<upload>& item) { return is_done(*item); });
    for (const auto& item : items) {
        if (is_done(*item)) {
            finish_upload(state, *item);
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
