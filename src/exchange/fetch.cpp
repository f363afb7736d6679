#include <algorithm>
#include <charconv>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/log.hpp>

#include "exchange/node.hpp"

namespace rhubarbwharf::exchange::internal {

namespace {

constexpr std::uint16_t status_partial = 206;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_unavailable = 503;
/*! @brief Bounds what the decisions may stretch a fetch to. */
constexpr int most_stretch = 128;
constexpr double link_burst_seconds = 0.25;
constexpr double least_link_burst_bytes = 64.0 * 1024.0;

[[nodiscard]] auto label_of(const node& state, const download& item) -> std::string {
    if (item.m_source == distribution::origin) {
        return "origin";
    }
    const auto from = state.m_regions.name(state.m_addresses[item.m_source.value()].m_region);
    if (from == state.m_region_name) {
        return "region";
    }
    return std::string{from} + "_to_" + state.m_region_name;
}

/*! @brief Sets the rate that this instance may use of a link. */
auto pace_link(node& state, const region_id link, const std::uint32_t width, const time_point now) -> void {
    const auto rate =
        distribution::link_share(state.m_settings.m_region_link_bytes_per_second, state.m_settings.m_bulk_share, width);
    const auto burst = std::max(least_link_burst_bytes, rate * link_burst_seconds);
    const auto place = state.m_link_buckets.try_emplace(link, distribution::make_bucket(rate, burst, now)).first;
    place->second.m_bytes_per_second = rate;
}

auto take_tokens(node& state, const download& item, const std::uint64_t size) -> void {
    distribution::take(state.m_download_bucket, size);
    if (item.m_link) {
        distribution::take(state.m_link_buckets.at(*item.m_link), size);
    }
}

[[nodiscard]] auto may_read(node& state, const download& item, const time_point now) -> bool {
    if (distribution::available(state.m_download_bucket, now) == 0U) {
        return false;
    }
    return !item.m_link || distribution::available(state.m_link_buckets.at(*item.m_link), now) > 0U;
}

/*! @brief Stores verified bytes and gives them to every version that names them. */
auto store(node& state, const digest& name, const bytes& body, const time_point now) -> void {
    const auto size = body->size();
    if (state.m_chunks.try_emplace(name, body).second) {
        state.m_held_bytes += size;
    }
    state.m_counts.set("exchange_held_bytes", static_cast<double>(state.m_held_bytes));
    for (auto& [version_name, entry] : state.m_versions) {
        if (!entry.m_manifest) {
            continue;
        }
        const auto& chunks = entry.m_manifest->m_chunks;
        for (std::uint32_t chunk = 0; chunk < chunks.size(); ++chunk) {
            if (chunks[chunk] == name) {
                distribution::take_chunk(entry.m_swarm, chunk, now);
            }
        }
    }
}

auto end_fetch(node& state, const download& item, const distribution::fetch_end end) -> void {
    const auto found = state.m_versions.find(item.m_version);
    if (found != state.m_versions.end() && found->second.m_manifest) {
        distribution::take_end(found->second.m_swarm, item.m_attempt, end, found->second.m_rules, steady_now());
    }
}

auto check(node& state, const std::shared_ptr<download>& item, const digest& expected) -> void {
    const auto body = std::make_shared<const std::string>(std::move(item->m_body));
    const auto found = std::make_shared<digest>();
    state.m_loop.offload([body, found] { *found = sha256(*body); },
                         [weak = state.weak_from_this(), item, body, found, expected] {
                             const auto self = weak.lock();
                             if (!self) {
                                 return;
                             }
                             if (*found != expected) {
                                 self->m_counts.add("exchange_corrupt_chunks", 1.0, label_of(*self, *item));
                                 end_fetch(*self, *item, distribution::fetch_end::corrupt);
                                 return;
                             }
                             if (self->m_versions.contains(item->m_version)) {
                                 store(*self, expected, body, steady_now());
                             }
                             self->m_counts.add("exchange_chunks", 1.0, label_of(*self, *item));
                             end_fetch(*self, *item, distribution::fetch_end::verified);
                         });
}

auto finish(node& state, const std::shared_ptr<download>& item, const net::call_end& end) -> void {
    std::erase(state.m_downloads, item);
    item->m_call.reset();
    const auto found = state.m_versions.find(item->m_version);
    if (found == state.m_versions.end() || !found->second.m_manifest) {
        return;
    }
    if (end.m_code == code::ok && item->m_status == status_partial && item->m_body.size() == item->m_expected) {
        check(state, item, found->second.m_manifest->m_chunks[item->m_chunk]);
        return;
    }
    auto outcome = distribution::fetch_end::failed;
    if (end.m_code == code::ok && item->m_status == status_unavailable) {
        outcome = distribution::fetch_end::busy;
    } else if (end.m_code == code::ok && item->m_status == status_not_found) {
        outcome = distribution::fetch_end::not_held;
    }
    state.m_counts.add("exchange_failed_fetches", 1.0, label_of(state, *item));
    end_fetch(state, *item, outcome);
}

auto read_part(node& state, const std::shared_ptr<download>& item, const std::string_view part) -> void {
    if (item->m_status != status_partial) {
        return;
    }
    state.m_counts.add("exchange_received_bytes", static_cast<double>(part.size()), label_of(state, *item));
    take_tokens(state, *item, part.size());
    if (item->m_body.size() + part.size() > item->m_expected) {
        item->m_call->cancel();
        return;
    }
    item->m_body.append(part);
    if (!item->m_paused && !may_read(state, *item, steady_now())) {
        item->m_paused = true;
        item->m_call->pause(true);
    }
}

auto begin_fetch(node& state, const digest& name, const version& entry, const distribution::command& order) -> void {
    const auto range = distribution::range(*entry.m_manifest, order.m_chunk);
    auto item = std::make_shared<download>();
    item->m_version = name;
    item->m_attempt = order.m_attempt;
    item->m_chunk = order.m_chunk;
    item->m_source = order.m_source;
    item->m_expected = range.m_size;
    const auto is_origin = order.m_source == distribution::origin;
    if (order.m_link && *order.m_link != state.m_regions.find(state.m_region_name)) {
        item->m_link = order.m_link;
        pace_link(state, *order.m_link, order.m_width, steady_now());
    }
    net::http_request request{};
    request.m_target = is_origin ? entry.m_manifest->m_source : "/v1/weights/" + to_hex(name);
    request.m_headers.push_back(
        {"Range", "bytes=" + std::to_string(range.m_first) + "-" + std::to_string(range.m_first + range.m_size - 1U)});
    request.m_headers.push_back({"X-Region", state.m_region_name});
    request.m_headers.push_back({"X-Instance", std::string{state.m_names.name(instance_id{0})}});
    const auto server =
        is_origin ? state.m_origin.value_or(net::endpoint{}) : state.m_addresses[order.m_source.value()].m_bulk;
    net::call_handlers handlers{};
    handlers.m_on_head = [item](const net::http_response& head) {
        item->m_status = head.m_status;
    };
    handlers.m_on_part = [weak = state.weak_from_this(), item](const std::string_view part) {
        if (const auto self = weak.lock()) {
            read_part(*self, item, part);
        }
    };
    handlers.m_on_end = [weak = state.weak_from_this(), item](const net::call_end& end) {
        if (const auto self = weak.lock()) {
            finish(*self, item, end);
        }
    };
    net::call_limits limits{};
    limits.m_total_time = entry.m_rules.m_fetch_time * most_stretch;
    limits.m_idle_time = entry.m_rules.m_fetch_time;
    state.m_downloads.push_back(item);
    item->m_call = state.m_http.send(server, std::move(request), limits, std::move(handlers));
}

auto cancel_fetch(node& state, const digest& name, const std::uint64_t attempt) -> void {
    for (const auto& item : state.m_downloads) {
        if (item->m_version == name && item->m_attempt == attempt && item->m_call) {
            item->m_call->cancel();
            return;
        }
    }
}

auto carry_out(node& state, const digest& name, const version& entry, const distribution::command& order) -> void {
    switch (order.m_kind) {
    case distribution::command_kind::fetch:
        begin_fetch(state, name, entry, order);
        break;
    case distribution::command_kind::cancel:
        cancel_fetch(state, name, order.m_attempt);
        break;
    case distribution::command_kind::announce:
        send_have(state, name, entry, order.m_source);
        break;
    case distribution::command_kind::whole:
        net::log(net::level::info, "exchange", "version " + to_hex(name) + " is whole");
        state.m_counts.add("exchange_whole_versions");
        state.m_loop.post([weak = state.weak_from_this(), name] {
            if (const auto self = weak.lock()) {
                self->m_on_whole(name);
            }
        });
        break;
    }
}

/*! @brief Tells whether the bytes that are under way still fit into memory. */
[[nodiscard]] auto has_room(node& state, const version& entry) -> bool {
    auto expected = state.m_held_bytes + entry.m_manifest->m_chunk_bytes;
    for (const auto& item : state.m_downloads) {
        expected += item->m_expected;
    }
    return expected <= state.m_settings.m_held_bytes + entry.m_manifest->m_chunk_bytes;
}

} // namespace

auto plan_versions(node& state, const time_point now) -> void {
    std::vector<distribution::command> orders{};
    auto full = false;
    for (auto& [name, entry] : state.m_versions) {
        if (!entry.m_manifest) {
            continue;
        }
        if (!entry.m_swarm.m_held.full() && !has_room(state, entry)) {
            full = true;
            continue;
        }
        orders.clear();
        distribution::plan(entry.m_swarm, entry.m_rules, now, state.m_random(), orders);
        for (const auto& order : orders) {
            carry_out(state, name, entry, order);
        }
    }
    if (full && !state.m_full) {
        net::log(net::level::warn, "exchange", "distribution.held_bytes is used up; no chunk is fetched");
    }
    state.m_full = full;
}

auto resume_downloads(node& state, const time_point now) -> void {
    for (const auto& item : state.m_downloads) {
        if (item->m_paused && item->m_call && may_read(state, *item, now)) {
            item->m_paused = false;
            item->m_call->pause(false);
        }
    }
}

auto cancel_downloads(node& state, const digest& name) -> void {
    const auto items = state.m_downloads;
    for (const auto& item : items) {
        if (item->m_version == name && item->m_call) {
            item->m_call->cancel();
        }
    }
}

} // namespace rhubarbwharf::exchange::internal
