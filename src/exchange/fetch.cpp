#include <algorithm>
#include <charconv>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/state.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr std::uint16_t status_partial = 206;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_unavailable = 503;
/*! @brief Must exceed the factor by which `distribution::plan` extends the fetch timeout after failures. */
constexpr int max_fetch_time_factor = 128;
constexpr double link_burst_seconds = 0.25;
constexpr double min_link_burst_bytes = 64.0 * 1024.0;

[[nodiscard]] auto source_label(const exchange_state& state, const download& item) -> std::string {
    if (item.m_source == distribution::origin) {
        return "origin";
    }
    const auto source_region = state.m_regions.name(state.m_peer_info[item.m_source.value()].m_region);
    if (source_region == state.m_local_region_name) {
        return "region";
    }
    return std::string{source_region} + "_to_" + state.m_local_region_name;
}

/*! @brief Limits this instance to its share of the rate of a link between regions. */
auto set_link_rate(exchange_state& state, const region_id link, const std::uint32_t sharing_instances,
                   const time_point now) -> void {
    const auto rate = distribution::gateway_link_rate(state.m_settings.m_region_link_bytes_per_second,
                                                      state.m_settings.m_bulk_share, sharing_instances);
    const auto burst = std::max(min_link_burst_bytes, rate * link_burst_seconds);
    const auto it = state.m_link_buckets.try_emplace(link, distribution::make_bucket(rate, burst, now)).first;
    it->second.m_bytes_per_second = rate;
}

auto consume_tokens(exchange_state& state, const download& item, const std::uint64_t size) -> void {
    distribution::consume(state.m_download_bucket, size);
    if (item.m_link) {
        distribution::consume(state.m_link_buckets.at(*item.m_link), size);
    }
}

[[nodiscard]] auto can_read(exchange_state& state, const download& item, const time_point now) -> bool {
    if (distribution::available(state.m_download_bucket, now) == 0U) {
        return false;
    }
    return !item.m_link || distribution::available(state.m_link_buckets.at(*item.m_link), now) > 0U;
}

/*! @brief Stores the content of a verified chunk and marks it as held in every version that contains it. */
auto store_chunk(exchange_state& state, const digest& chunk_digest, const shared_bytes& body, const time_point now)
    -> void {
    const auto size = body->size();
    if (state.m_chunks.try_emplace(chunk_digest, body).second) {
        state.m_held_bytes += size;
    }
    state.m_counters.set("exchange_held_bytes", static_cast<double>(state.m_held_bytes));
    for (auto& [manifest, entry] : state.m_versions) {
        if (!entry.m_manifest) {
            continue;
        }
        const auto& chunks = entry.m_manifest->m_chunks;
        for (std::uint32_t chunk = 0; chunk < chunks.size(); ++chunk) {
            if (chunks[chunk] == chunk_digest) {
                distribution::add_chunk(entry.m_swarm, chunk, now);
            }
        }
    }
}

auto record_fetch_end(exchange_state& state, const download& item, const distribution::fetch_result end) -> void {
    const auto found = state.m_versions.find(item.m_version);
    if (found != state.m_versions.end() && found->second.m_manifest) {
        distribution::finish_fetch(found->second.m_swarm, item.m_attempt, end, found->second.m_policy, steady_now());
    }
}

auto verify_chunk(exchange_state& state, const std::shared_ptr<download>& item, const digest& expected) -> void {
    const auto body = std::make_shared<const std::string>(std::move(item->m_body));
    const auto computed = std::make_shared<digest>();
    state.m_loop.offload([body, computed] { *computed = sha256(*body); },
                         [weak = state.weak_from_this(), item, body, computed, expected] {
                             const auto self = weak.lock();
                             if (!self) {
                                 return;
                             }
                             if (*computed != expected) {
                                 self->m_counters.add("exchange_corrupt_chunks", 1.0, source_label(*self, *item));
                                 record_fetch_end(*self, *item, distribution::fetch_result::corrupt);
                                 return;
                             }
                             if (self->m_versions.contains(item->m_version)) {
                                 store_chunk(*self, expected, body, steady_now());
                             }
                             self->m_counters.add("exchange_chunks", 1.0, source_label(*self, *item));
                             record_fetch_end(*self, *item, distribution::fetch_result::verified);
                         });
}

auto handle_download_end(exchange_state& state, const std::shared_ptr<download>& item, const net::call_end& end)
    -> void {
    std::erase(state.m_downloads, item);
    item->m_call.reset();
    const auto found = state.m_versions.find(item->m_version);
    if (found == state.m_versions.end() || !found->second.m_manifest) {
        return;
    }
    if (end.m_code == code::ok && item->m_status == status_partial && item->m_body.size() == item->m_expected_bytes) {
        verify_chunk(state, item, found->second.m_manifest->m_chunks[item->m_chunk]);
        return;
    }
    auto outcome = distribution::fetch_result::failed;
    if (end.m_code == code::ok && item->m_status == status_unavailable) {
        outcome = distribution::fetch_result::busy;
    } else if (end.m_code == code::ok && item->m_status == status_not_found) {
        outcome = distribution::fetch_result::not_held;
    }
    state.m_counters.add("exchange_failed_fetches", 1.0, source_label(state, *item));
    record_fetch_end(state, *item, outcome);
}

auto append_part(exchange_state& state, const std::shared_ptr<download>& item, const std::string_view part) -> void {
    if (item->m_status != status_partial) {
        return;
    }
    state.m_counters.add("exchange_received_bytes", static_cast<double>(part.size()), source_label(state, *item));
    consume_tokens(state, *item, part.size());
    if (item->m_body.size() + part.size() > item->m_expected_bytes) {
        item->m_call->cancel();
        return;
    }
    item->m_body.append(part);
    if (!item->m_paused && !can_read(state, *item, steady_now())) {
        item->m_paused = true;
        item->m_call->pause(true);
    }
}

auto start_fetch(exchange_state& state, const digest& manifest, const version& entry,
                 const distribution::command& command) -> void {
    const auto range = distribution::chunk_range(*entry.m_manifest, command.m_chunk);
    auto item = std::make_shared<download>();
    item->m_version = manifest;
    item->m_attempt = command.m_attempt;
    item->m_chunk = command.m_chunk;
    item->m_source = command.m_source;
    item->m_expected_bytes = range.m_size;
    const auto is_origin = command.m_source == distribution::origin;
    if (command.m_link_region && *command.m_link_region != state.m_regions.find(state.m_local_region_name)) {
        item->m_link = command.m_link_region;
        set_link_rate(state, *command.m_link_region, command.m_concurrent_gateways, steady_now());
    }
    net::http_request request{};
    request.m_target = is_origin ? entry.m_manifest->m_source : "/v1/weights/" + to_hex(manifest);
    request.m_headers.push_back({"Range", "bytes=" + std::to_string(range.m_offset) + "-" +
                                              std::to_string(range.m_offset + range.m_size - 1U)});
    request.m_headers.push_back({"X-Region", state.m_local_region_name});
    request.m_headers.push_back({"X-Instance", std::string{state.m_instances.name(instance_id{0})}});
    const auto server = is_origin ? state.m_origin.value_or(net::endpoint{})
                                  : state.m_peer_info[command.m_source.value()].m_bulk_endpoint;
    net::call_handlers handlers{};
    handlers.m_on_head = [item](const net::http_response& head) {
        item->m_status = head.m_status;
    };
    handlers.m_on_part = [weak = state.weak_from_this(), item](const std::string_view part) {
        if (const auto self = weak.lock()) {
            append_part(*self, item, part);
        }
    };
    handlers.m_on_end = [weak = state.weak_from_this(), item](const net::call_end& end) {
        if (const auto self = weak.lock()) {
            handle_download_end(*self, item, end);
        }
    };
    net::call_limits limits{};
    limits.m_total_time = entry.m_policy.m_fetch_timeout * max_fetch_time_factor;
    limits.m_idle_time = entry.m_policy.m_fetch_timeout;
    state.m_downloads.push_back(item);
    item->m_call = state.m_http.send(server, std::move(request), limits, std::move(handlers));
}

auto cancel_fetch(exchange_state& state, const digest& manifest, const std::uint64_t attempt) -> void {
    for (const auto& item : state.m_downloads) {
        if (item->m_version == manifest && item->m_attempt == attempt && item->m_call) {
            item->m_call->cancel();
            return;
        }
    }
}

auto execute(exchange_state& state, const digest& manifest, const version& entry, const distribution::command& command)
    -> void {
    switch (command.m_kind) {
    case distribution::command_kind::fetch:
        start_fetch(state, manifest, entry, command);
        break;
    case distribution::command_kind::cancel:
        cancel_fetch(state, manifest, command.m_attempt);
        break;
    case distribution::command_kind::announce:
        send_have_map(state, manifest, entry, command.m_source);
        break;
    case distribution::command_kind::complete:
        net::log(net::level::info, "exchange", "whole content of version " + to_hex(manifest) + " verified");
        state.m_counters.add("exchange_whole_versions");
        state.m_loop.post([weak = state.weak_from_this(), manifest] {
            if (const auto self = weak.lock()) {
                self->m_on_complete(manifest);
            }
        });
        break;
    }
}

/*! @brief Checks whether the held chunks and the running downloads are within the limit on held bytes. */
[[nodiscard]] auto has_capacity(exchange_state& state, const version& entry) -> bool {
    auto expected = state.m_held_bytes + entry.m_manifest->m_chunk_bytes;
    for (const auto& item : state.m_downloads) {
        expected += item->m_expected_bytes;
    }
    return expected <= state.m_settings.m_held_bytes + entry.m_manifest->m_chunk_bytes;
}

} // namespace

auto schedule_fetches(exchange_state& state, const time_point now) -> void {
    std::vector<distribution::command> commands{};
    auto memory_full = false;
    for (auto& [manifest, entry] : state.m_versions) {
        if (!entry.m_manifest) {
            continue;
        }
        if (!entry.m_swarm.m_held_chunks.full() && !has_capacity(state, entry)) {
            memory_full = true;
            continue;
        }
        commands.clear();
        distribution::plan(entry.m_swarm, entry.m_policy, now, state.m_random(), commands);
        for (const auto& command : commands) {
            execute(state, manifest, entry, command);
        }
    }
    if (memory_full && !state.m_memory_full) {
        net::log(net::level::warn, "exchange",
                 "memory limit distribution.held_bytes reached; no further chunk is fetched");
    }
    state.m_memory_full = memory_full;
}

auto resume_downloads(exchange_state& state, const time_point now) -> void {
    for (const auto& item : state.m_downloads) {
        if (item->m_paused && item->m_call && can_read(state, *item, now)) {
            item->m_paused = false;
            item->m_call->pause(false);
        }
    }
}

auto cancel_downloads(exchange_state& state, const digest& manifest) -> void {
    const auto items = state.m_downloads;
    for (const auto& item : items) {
        if (item->m_version == manifest && item->m_call) {
            item->m_call->cancel();
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
