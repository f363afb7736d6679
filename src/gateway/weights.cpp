#include <algorithm>
#include <charconv>
#include <utility>

#include <gateway/daemon.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr std::uint16_t status_ok = 200U;
/*! @brief Concurrent calls of one gateway to the origin. One per gateway is enough for all gateways together to fill
 * the origin's link; with more, calls would time out where there are many gateways. */
constexpr unsigned max_origin_calls = 1U;
/*! @brief Maximum number of gateways between a loader and the gateway that reads from the origin: one of the data
 * centre and one of the region. */
constexpr unsigned max_hops = 2U;
/*! @brief Covers the time that a part may be queued behind all other pieces of its version at the origin. */
constexpr duration part_timeout = std::chrono::milliseconds{6'000};
/*! @brief Longest time without a byte; allows for an origin that sends a piece to every gateway at once over a link of
 * 9 Mbit/s. */
constexpr duration part_idle_timeout = std::chrono::milliseconds{2'500};
constexpr duration part_connect_timeout = std::chrono::milliseconds{500};
/*! @brief Time after the start during which a gateway discovers the others. One that knew no other gateway would
 * request all parts from the origin. */
constexpr duration discovery_delay = std::chrono::milliseconds{500};
/*! @brief Unanswered calls to other gateways after which a part is requested from the origin. */
constexpr unsigned max_unanswered_calls = 2U;
/*! @brief Time without a request after which a version is evicted. Runners that crash or are added within it can fetch
 * the version even while the origin is down. */
constexpr duration version_retention = std::chrono::seconds{60};
/*! @brief Maximum number of cached versions: the one in force, the one being fetched, and one that is announced during
 * the fetch. */
constexpr std::size_t max_versions = 3U;
/*! @brief Maximum number of cached bytes of a version; three versions take a third of the memory of the smallest edge
 * machine. */
constexpr std::size_t max_version_bytes = std::size_t{16} * 1024U * 1024U;
/*! @brief Largest number of pieces of a version. */
constexpr std::size_t max_pieces = 65'536U;
/*! @brief Bytes of a manifest: a digest of each piece in hexadecimal, with quotes and comma, and the other members. */
constexpr std::size_t max_manifest_bytes = max_pieces * 67U + std::size_t{64} * 1024U;

namespace {

struct part_request {
    part_key m_key{};
    unsigned m_hops{};
};

template <typename Number>
[[nodiscard]] auto parse_number(const std::string& text) -> std::optional<Number> {
    Number out{};
    const auto* const end = text.data() + text.size();
    const auto [parsed_end, failure] = std::from_chars(text.data(), end, out);
    return !text.empty() && failure == std::errc{} && parsed_end == end ? std::optional{out} : std::nullopt;
}

[[nodiscard]] auto parse_part_request(const std::string& target) -> std::optional<part_request> {
    part_request out{};
    out.m_key.m_model = adapter::query_value(target, "model");
    const auto version = parse_number<std::uint64_t>(adapter::query_value(target, "version"));
    const auto is_manifest = target.starts_with("/manifest");
    const auto index = is_manifest ? std::optional{fleet::manifest_index}
                                   : parse_number<std::size_t>(adapter::query_value(target, "index"));
    const auto is_known_path = is_manifest || target.starts_with("/piece");
    if (!is_known_path || out.m_key.m_model.empty() || !version || !index || (!is_manifest && *index >= max_pieces)) {
        return std::nullopt;
    }
    out.m_key.m_version = *version;
    out.m_key.m_index = *index;
    out.m_hops = parse_number<unsigned>(adapter::query_value(target, "hops")).value_or(0U);
    return out;
}

[[nodiscard]] auto gateway_request(const part_key& key, const unsigned hops) -> net::http_request {
    const auto is_manifest = key.m_index == fleet::manifest_index;
    net::http_request out{};
    out.m_target = fleet::transfer_target(is_manifest ? "manifest" : "piece", key.m_model, key.m_version) +
                   "&hops=" + std::to_string(hops) +
                   (is_manifest ? std::string{} : "&index=" + std::to_string(key.m_index));
    return out;
}

[[nodiscard]] auto origin_request(const part_key& key) -> net::http_request {
    return key.m_index == fleet::manifest_index
               ? adapter::encode_manifest_request(key.m_model, key.m_version)
               : adapter::encode_piece_request(key.m_model, key.m_version, key.m_index);
}

[[nodiscard]] auto find_version(daemon& self, const part_key& key) -> relayed_version* {
    const auto found = self.m_weights_relay.m_versions.find({key.m_model, key.m_version});
    return found == self.m_weights_relay.m_versions.end() ? nullptr : &found->second;
}

auto refuse_waiters(relayed_part& part) -> void {
    for (const auto& each : std::exchange(part.m_waiters, {})) {
        each->respond(net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero()));
    }
}

/*! @brief Responds that this gateway does not relay the part, so that loaders fetch it from each other. */
auto respond_not_relayed(const std::shared_ptr<net::responder>& responder) -> void {
    responder->respond(net::problem(code::not_found, outcome::not_run, "not relayed here", duration::zero()));
}

[[nodiscard]] auto held_bytes(const relayed_version& version) -> std::size_t {
    std::size_t bytes{};
    for (const auto& [index, part] : version.m_parts) {
        bytes += part.m_bytes.size();
    }
    return bytes;
}

/*! @brief Stops relaying a version that exceeds the cache limit, here or at the upstream gateway. */
auto drop_oversized(daemon& self, relayed_version& version, const part_key& key, const std::string_view source)
    -> void {
    const auto bytes = held_bytes(version);
    version.m_too_large = true;
    for (auto& [index, part] : version.m_parts) {
        for (const auto& each : std::exchange(part.m_waiters, {})) {
            respond_not_relayed(each);
        }
    }
    version.m_parts.clear();
    self.m_core.m_events.write("weights.too_large", {{"model", key.m_model},
                                                     {"version", static_cast<std::int64_t>(key.m_version)},
                                                     {"bytes", static_cast<std::int64_t>(bytes)},
                                                     {"from", source}});
}

auto fetch_part(daemon& self, const part_key& key) -> void;

/*! @brief Starts queued calls to the origin up to `max_origin_calls`. */
auto start_queued_origin_calls(daemon& self) -> void {
    auto& queue = self.m_weights_relay.m_origin_queue;
    while (!queue.empty() && self.m_weights_relay.m_origin_calls < max_origin_calls) {
        const auto key = std::move(queue.front());
        queue.pop_front();
        if (auto* const version = find_version(self, key)) {
            version->m_parts[key.m_index].m_requested = false;
            fetch_part(self, key);
        }
    }
}

/*! @brief Verifies a received part; stores it if it is a valid manifest. */
[[nodiscard]] auto accept_part(daemon& self, relayed_version& version, const part_key& key,
                               const net::http_response& response) -> bool {
    if (response.m_status != status_ok) {
        return false;
    }
    if (key.m_index == fleet::manifest_index) {
        auto manifest = adapter::decode_manifest(response.m_body);
        if (!manifest || manifest->m_version != key.m_version) {
            return false;
        }
        version.m_manifest = std::move(manifest);
        version.m_corrupt_pieces = 0U;
        return true;
    }
    const auto& pieces = version.m_manifest->m_digests;
    const auto is_valid = key.m_index < pieces.size() && sha256(response.m_body) == pieces[key.m_index];
    if (!is_valid) {
        self.m_core.m_counters.add("pieces_spoilt_total");
        ++version.m_corrupt_pieces;
    }
    return is_valid;
}

/*! @brief Fetches the pieces that waited for a manifest, or refuses their requests if the manifest is invalid. */
auto on_manifest(daemon& self, relayed_version& version, const part_key& key, const bool is_valid) -> void {
    std::vector<std::size_t> waiting{};
    for (const auto& [index, part] : version.m_parts) {
        if (index != fleet::manifest_index && !part.m_waiters.empty()) {
            waiting.push_back(index);
        }
    }
    for (const auto index : waiting) {
        if (is_valid) {
            fetch_part(self, {key.m_model, key.m_version, index});
        } else {
            refuse_waiters(version.m_parts[index]);
        }
    }
}

auto on_part_response(daemon& self, const part_key& key, const std::string_view source, const time_point requested_at,
                      net::http_response response) -> void {
    const auto from_origin = source.empty();
    const auto sender = self.m_core.m_members.find(source);
    const auto from_loader = sender != self.m_core.m_members.end() && !sender->second.m_member.is_gateway();
    if (from_origin) {
        --self.m_weights_relay.m_origin_calls;
        self.m_core.m_counters.add("origin_bytes_total", static_cast<double>(response.m_body.size()));
    }
    auto* const version = find_version(self, key);
    if (version != nullptr && version->m_too_large) {
        start_queued_origin_calls(self);
        return;
    }
    const auto manifest_missing =
        version != nullptr && key.m_index != fleet::manifest_index && !version->m_manifest.has_value();
    if (version == nullptr || manifest_missing) {
        if (manifest_missing) {
            version->m_parts[key.m_index].m_requested = false;
            fetch_part(self, key);
        }
        start_queued_origin_calls(self);
        return;
    }
    auto& part = version->m_parts[key.m_index];
    part.m_requested = false;
    const auto is_valid = accept_part(self, *version, key, response);
    const auto took_ms = std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - requested_at).count();
    self.m_core.m_events.write(
        "weights.relayed",
        {{"model", key.m_model},
         {"version", static_cast<std::int64_t>(key.m_version)},
         {"piece", key.m_index == fleet::manifest_index ? std::int64_t{-1} : static_cast<std::int64_t>(key.m_index)},
         {"from", from_origin ? std::string_view{"origin"} : source},
         {"status", static_cast<std::int64_t>(response.m_status)},
         {"good", is_valid},
         {"took_ms", took_ms}});
    if (is_valid) {
        part.m_bytes = std::move(response.m_body);
        part.m_unanswered_calls = 0U;
        for (const auto& each : std::exchange(part.m_waiters, {})) {
            each->respond({status_ok, {}, part.m_bytes});
        }
    } else if (from_loader) {
        part.m_avoids_loaders = true;
        fetch_part(self, key);
    } else {
        part.m_unanswered_calls = from_origin ? 0U : part.m_unanswered_calls + (response.m_status == 0U ? 1U : 0U);
        refuse_waiters(part);
    }
    const auto is_gateway_without = !from_origin && !from_loader && response.m_status == fleet::status_not_relayed;
    if (held_bytes(*version) > max_version_bytes || is_gateway_without) {
        drop_oversized(self, *version, key, source);
    } else if (version->m_corrupt_pieces >= fleet::max_corrupt_pieces) {
        version->m_manifest.reset();
        version->m_parts[fleet::manifest_index].m_bytes.clear();
        // The manifest is then requested from the origin.
        version->m_parts[fleet::manifest_index].m_unanswered_calls = max_unanswered_calls;
    } else if (key.m_index == fleet::manifest_index) {
        on_manifest(self, *version, key, is_valid);
    }
    start_queued_origin_calls(self);
}

/*! @brief Returns the bytes of a manifest, or of a piece by the configuration; those of the largest version that is
 * relayed if it does not say. */
[[nodiscard]] auto max_part_bytes(const daemon& self, const part_key& key) -> std::size_t {
    if (key.m_index == fleet::manifest_index) {
        return max_manifest_bytes;
    }
    std::size_t out{};
    for (const auto& each : self.m_core.m_configuration->m_services) {
        out = std::max(out, each.m_engine ? each.m_engine->m_piece_bytes : std::size_t{});
    }
    return out == 0U ? max_version_bytes : out;
}

/*! @brief Finds a loader of the region whose runner holds the whole version of a piece. Its copy is read once for all
 * loaders that this gateway serves. @return Null if there is none, or one has failed to deliver this piece. */
[[nodiscard]] auto find_holder(const daemon& self, const part_key& key, const relayed_part& part, const time_point now)
    -> const fleet::member* {
    if (key.m_index == fleet::manifest_index || part.m_avoids_loaders) {
        return nullptr;
    }
    std::vector<const fleet::member*> holders{};
    for (const auto& [id, backend] : self.m_backends) {
        const auto* const service = fleet::find_service(*self.m_core.m_configuration, backend->m_service);
        const auto layers = service != nullptr && service->m_engine ? service->m_engine->m_layer_count : 1U;
        const auto loader = self.m_core.m_members.find(backend->m_loader);
        if (loader != self.m_core.m_members.end() && dispatch::is_reported_directly(*backend, now) &&
            loader->second.m_member.m_region == self.m_core.m_self.m_region &&
            loader->second.m_member.m_bulk_address.m_port != 0U &&
            fleet::complete_version(backend->m_models, key.m_model, layers) == key.m_version) {
            holders.push_back(&loader->second.m_member);
        }
    }
    return fleet::first_in_rendezvous_order(holders, {key.m_version, key.m_index});
}

/*! @brief Requests a part from a gateway or a loader, or from the origin if `upstream` is null. */
auto request_part(daemon& self, const part_key& key, const unsigned hops, const fleet::member* const upstream) -> void {
    self.m_weights_relay.m_origin_calls += upstream == nullptr ? 1U : 0U;
    net::call_limits limits{};
    limits.m_total_time = part_timeout;
    limits.m_idle_time = part_idle_timeout;
    limits.m_connect_time = part_connect_timeout;
    limits.m_keep = upstream != nullptr;
    limits.m_body_bytes = max_part_bytes(self, key);
    const auto address =
        upstream == nullptr ? fleet::find_origin(*self.m_core.m_configuration)->m_address : upstream->m_bulk_address;
    self.m_core.m_http.fetch(address, upstream == nullptr ? origin_request(key) : gateway_request(key, hops), limits,
                             [&self, key, source = upstream == nullptr ? std::string{} : upstream->m_instance,
                              requested_at = steady_now()](const net::call_end&, net::http_response response) {
                                 on_part_response(self, key, source, requested_at, std::move(response));
                             });
}

auto fetch_part(daemon& self, const part_key& key) -> void {
    auto* const version = find_version(self, key);
    if (version == nullptr || version->m_too_large || version->m_parts[key.m_index].m_requested) {
        return;
    }
    auto& part = version->m_parts[key.m_index];
    const auto age = steady_now() - self.m_core.m_started;
    if (age < discovery_delay && key.m_index == fleet::manifest_index) {
        // The requester can fetch the manifest from another source sooner.
        refuse_waiters(part);
        return;
    }
    if (age < discovery_delay) {
        part.m_requested = true;
        self.m_core.m_loop.after(discovery_delay - age, [&self, key] {
            if (auto* const current = find_version(self, key)) {
                current->m_parts[key.m_index].m_requested = false;
                fetch_part(self, key);
            }
        });
        return;
    }
    if (key.m_index != fleet::manifest_index && !version->m_manifest) {
        fetch_part(self, {key.m_model, key.m_version, fleet::manifest_index});
        return;
    }
    const auto* const origin = self.m_core.m_configuration ? fleet::find_origin(*self.m_core.m_configuration) : nullptr;
    const auto now = steady_now();
    const auto use_origin = part.m_unanswered_calls >= max_unanswered_calls || part.m_hops >= max_hops;
    const auto* upstream = self.m_core.m_configuration ? find_holder(self, key, part, now) : nullptr;
    if (upstream == nullptr && !use_origin) {
        upstream = fleet::find_upstream(self.m_core.m_members, self.m_core.m_self, {key.m_version, key.m_index}, now);
    }
    if (upstream == nullptr && origin == nullptr) {
        refuse_waiters(part);
        return;
    }
    part.m_requested = true;
    if (upstream == nullptr && self.m_weights_relay.m_origin_calls >= max_origin_calls) {
        self.m_weights_relay.m_origin_queue.push_back(key);
        return;
    }
    request_part(self, key, part.m_hops + 1U, upstream);
}

using version_iterator = decltype(weights_relay::m_versions)::iterator;

/*! @brief Evicts a version and refuses the requests that wait for it. @return The iterator after it. */
auto evict_version(weights_relay& relay, const version_iterator position) -> version_iterator {
    for (auto& [index, part] : position->second.m_parts) {
        refuse_waiters(part);
    }
    return relay.m_versions.erase(position);
}

/*! @brief Evicts the least recently requested versions until there is room for one more. */
auto evict_for_new_version(weights_relay& relay) -> void {
    while (relay.m_versions.size() >= max_versions) {
        evict_version(relay, std::ranges::min_element(relay.m_versions, {},
                                                      [](const auto& each) { return each.second.m_last_requested; }));
    }
}

} // namespace

} // namespace internal

auto on_weights(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& responder)
    -> void {
    const auto requested = internal::parse_part_request(incoming.m_target);
    if (!requested) {
        internal::respond_not_relayed(responder);
        return;
    }
    if (internal::find_version(self, requested->m_key) == nullptr) {
        internal::evict_for_new_version(self.m_weights_relay);
    }
    auto& version = self.m_weights_relay.m_versions[{requested->m_key.m_model, requested->m_key.m_version}];
    version.m_last_requested = steady_now();
    if (version.m_too_large) {
        internal::respond_not_relayed(responder);
        return;
    }
    auto& part = version.m_parts[requested->m_key.m_index];
    if (!part.m_bytes.empty()) {
        responder->respond({internal::status_ok, {}, part.m_bytes});
        return;
    }
    part.m_hops = std::max(part.m_hops, requested->m_hops);
    part.m_waiters.push_back(responder);
    internal::fetch_part(self, requested->m_key);
}

auto evict_unused_weights(daemon& self, const time_point now) -> void {
    auto& versions = self.m_weights_relay.m_versions;
    for (auto each = versions.begin(); each != versions.end();) {
        const auto is_recent = now - each->second.m_last_requested < internal::version_retention;
        each = is_recent ? std::next(each) : internal::evict_version(self.m_weights_relay, each);
    }
}

} // namespace rhubarbwharf::gateway
