#include <algorithm>
#include <charconv>
#include <utility>

#include <gateway/daemon.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace internal {

constexpr std::uint16_t status_ok = 200U;
/*! @brief Calls of one gateway to the origin at once: all gateways together fill its link. With more, no call would end
 * in time where there are many gateways. */
constexpr unsigned most_at_origin = 1U;
/*! @brief Gateways between a loader and the one that reads the origin: that of its data centre and that of its region.
 */
constexpr unsigned most_hops = 2U;
/*! @brief Time for one part, which may stand in line behind all other pieces of its version at the origin. */
constexpr duration part_time = std::chrono::milliseconds{6'000};
/*! @brief Time without a byte after which a call is given up: a piece a gateway over a link of 9 Mbit/s. */
constexpr duration part_idle_time = std::chrono::milliseconds{2'500};
constexpr duration part_connect_time = std::chrono::milliseconds{500};
/*! @brief Time after the start in which a gateway hears of the others; one that knows none would ask the origin for
 * all.
 */
constexpr duration acquaintance_time = std::chrono::milliseconds{500};
/*! @brief Calls to another gateway without an answer after which the origin is asked instead. */
constexpr unsigned most_unanswered = 2U;
/*! @brief Time without a request after which a version is forgotten: runners that crash or are added fetch it within
 * that, also while the origin is down. */
constexpr duration keep_time = std::chrono::seconds{60};
/*! @brief Versions kept at once: the one in force, the one being fetched, and the one named while that went on. */
constexpr std::size_t most_versions = 3U;
/*! @brief Bytes kept of one version: three of them are a third of the memory of the smallest edge machine. */
constexpr std::size_t most_bytes = std::size_t{16} * 1024U * 1024U;
/*! @brief Pieces of a version, at most. */
constexpr std::size_t most_pieces = 65'536U;

namespace {

struct part_call {
    part_key m_key{};
    unsigned m_hops{};
};

template <typename Number>
[[nodiscard]] auto number_of(const std::string& text) -> std::optional<Number> {
    Number out{};
    const auto* const end = text.data() + text.size();
    const auto [stopped, failure] = std::from_chars(text.data(), end, out);
    return !text.empty() && failure == std::errc{} && stopped == end ? std::optional{out} : std::nullopt;
}

[[nodiscard]] auto read_call(const std::string& target) -> std::optional<part_call> {
    part_call out{};
    out.m_key.m_model = adapter::query_value(target, "model");
    const auto version = number_of<std::uint64_t>(adapter::query_value(target, "version"));
    const auto is_manifest = target.starts_with("/manifest");
    const auto index = is_manifest ? std::optional{fleet::manifest_index}
                                   : number_of<std::size_t>(adapter::query_value(target, "index"));
    const auto known = is_manifest || target.starts_with("/piece");
    if (!known || out.m_key.m_model.empty() || !version || !index || (!is_manifest && *index >= most_pieces)) {
        return std::nullopt;
    }
    out.m_key.m_version = *version;
    out.m_key.m_index = *index;
    out.m_hops = number_of<unsigned>(adapter::query_value(target, "hops")).value_or(0U);
    return out;
}

[[nodiscard]] auto call_to_gateway(const part_key& key, const unsigned hops) -> net::http_request {
    const auto is_manifest = key.m_index == fleet::manifest_index;
    net::http_request out{};
    out.m_target = fleet::transfer_target(is_manifest ? "manifest" : "piece", key.m_model, key.m_version) +
                   "&hops=" + std::to_string(hops) +
                   (is_manifest ? std::string{} : "&index=" + std::to_string(key.m_index));
    return out;
}

[[nodiscard]] auto call_to_origin(const part_key& key) -> net::http_request {
    return key.m_index == fleet::manifest_index ? adapter::encode_manifest_call(key.m_model, key.m_version)
                                                : adapter::encode_piece_call(key.m_model, key.m_version, key.m_index);
}

[[nodiscard]] auto find_version(daemon& self, const part_key& key) -> kept_version* {
    const auto found = self.m_weights.m_versions.find({key.m_model, key.m_version});
    return found == self.m_weights.m_versions.end() ? nullptr : &found->second;
}

auto refuse_waiting(kept_part& part) -> void {
    for (const auto& each : std::exchange(part.m_waiting, {})) {
        each->respond(net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero()));
    }
}

/*! @brief Says that this gateway does not relay what was asked for, so that loaders turn to each other. */
auto send_away(const std::shared_ptr<net::responder>& to) -> void {
    to->respond(net::problem(code::not_found, outcome::not_run, "not relayed here", duration::zero()));
}

[[nodiscard]] auto bytes_of(const kept_version& version) -> std::size_t {
    std::size_t bytes{};
    for (const auto& [index, part] : version.m_parts) {
        bytes += part.m_bytes.size();
    }
    return bytes;
}

/*! @brief Gives a version up whose pieces have become too many bytes, here or at the gateway asked. */
auto drop_large(daemon& self, kept_version& version, const part_key& key, const std::string_view from) -> void {
    const auto bytes = bytes_of(version);
    version.m_too_large = true;
    for (auto& [index, part] : version.m_parts) {
        for (const auto& each : std::exchange(part.m_waiting, {})) {
            send_away(each);
        }
    }
    version.m_parts.clear();
    self.m_core.m_events.write("weights.too_large", {{"model", key.m_model},
                                                     {"version", static_cast<std::int64_t>(key.m_version)},
                                                     {"bytes", static_cast<std::int64_t>(bytes)},
                                                     {"from", from}});
}

auto fetch_part(daemon& self, const part_key& key) -> void;

/*! @brief Begins the next call to the origin, if there is room for one. */
auto next_at_origin(daemon& self) -> void {
    auto& line = self.m_weights.m_line;
    while (!line.empty() && self.m_weights.m_at_origin < most_at_origin) {
        const auto key = std::move(line.front());
        line.pop_front();
        if (auto* const version = find_version(self, key)) {
            version->m_parts[key.m_index].m_asked = false;
            fetch_part(self, key);
        }
    }
}

/*! @brief Tells whether a part is what it should be; a manifest is taken over if it is. */
[[nodiscard]] auto accept(daemon& self, kept_version& version, const part_key& key, const net::http_response& got)
    -> bool {
    if (got.m_status != status_ok) {
        return false;
    }
    if (key.m_index == fleet::manifest_index) {
        auto read = adapter::decode_manifest(got.m_body);
        if (!read || read->m_version != key.m_version) {
            return false;
        }
        version.m_manifest = std::move(read);
        version.m_spoilt = 0U;
        return true;
    }
    const auto& pieces = version.m_manifest->m_pieces;
    const auto right = key.m_index < pieces.size() && sha256(got.m_body) == pieces[key.m_index];
    if (!right) {
        self.m_core.m_counters.add("pieces_spoilt_total");
        ++version.m_spoilt;
    }
    return right;
}

/*! @brief Begins what waited for a manifest, or ends it. */
auto on_manifest(daemon& self, kept_version& version, const part_key& key, const bool is_good) -> void {
    std::vector<std::size_t> waiting{};
    for (const auto& [index, part] : version.m_parts) {
        if (index != fleet::manifest_index && !part.m_waiting.empty()) {
            waiting.push_back(index);
        }
    }
    for (const auto index : waiting) {
        if (is_good) {
            fetch_part(self, {key.m_model, key.m_version, index});
        } else {
            refuse_waiting(version.m_parts[index]);
        }
    }
}

auto on_part(daemon& self, const part_key& key, const std::string_view from, const time_point asked,
             net::http_response got) -> void {
    const auto from_origin = from.empty();
    if (from_origin) {
        --self.m_weights.m_at_origin;
        self.m_core.m_counters.add("origin_bytes_total", static_cast<double>(got.m_body.size()));
    }
    auto* const version = find_version(self, key);
    if (version != nullptr && version->m_too_large) {
        next_at_origin(self);
        return;
    }
    const auto manifest_gone =
        version != nullptr && key.m_index != fleet::manifest_index && !version->m_manifest.has_value();
    if (version == nullptr || manifest_gone) {
        if (manifest_gone) {
            version->m_parts[key.m_index].m_asked = false;
            fetch_part(self, key);
        }
        next_at_origin(self);
        return;
    }
    auto& part = version->m_parts[key.m_index];
    part.m_asked = false;
    const auto good = accept(self, *version, key, got);
    const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(steady_now() - asked).count();
    self.m_core.m_events.write(
        "weights.relayed",
        {{"model", key.m_model},
         {"version", static_cast<std::int64_t>(key.m_version)},
         {"piece", key.m_index == fleet::manifest_index ? std::int64_t{-1} : static_cast<std::int64_t>(key.m_index)},
         {"from", from_origin ? std::string_view{"origin"} : from},
         {"status", static_cast<std::int64_t>(got.m_status)},
         {"good", good},
         {"took_ms", took}});
    if (good) {
        part.m_bytes = std::move(got.m_body);
        part.m_unanswered = 0U;
        for (const auto& each : std::exchange(part.m_waiting, {})) {
            each->respond({status_ok, {}, part.m_bytes});
        }
    } else {
        part.m_unanswered = from_origin ? 0U : part.m_unanswered + (got.m_status == 0U ? 1U : 0U);
        refuse_waiting(part);
    }
    if (bytes_of(*version) > most_bytes || (!from_origin && got.m_status == fleet::status_not_relayed)) {
        drop_large(self, *version, key, from);
    } else if (version->m_spoilt >= fleet::most_spoilt) {
        version->m_manifest.reset();
        version->m_parts[fleet::manifest_index].m_bytes.clear();
        version->m_parts[fleet::manifest_index].m_unanswered = most_unanswered;
    } else if (key.m_index == fleet::manifest_index) {
        on_manifest(self, *version, key, good);
    }
    next_at_origin(self);
}

/*! @brief Asks a gateway, or the origin if there is none to ask, for a part. */
auto send_call(daemon& self, const part_key& key, const unsigned hops, const fleet::member* const upstream) -> void {
    self.m_weights.m_at_origin += upstream == nullptr ? 1U : 0U;
    net::call_limits limits{};
    limits.m_total_time = part_time;
    limits.m_idle_time = part_idle_time;
    limits.m_connect_time = part_connect_time;
    limits.m_keep = upstream != nullptr;
    const auto where =
        upstream == nullptr ? fleet::find_origin(*self.m_core.m_configuration)->m_address : upstream->m_bulk;
    self.m_core.m_http.fetch(where, upstream == nullptr ? call_to_origin(key) : call_to_gateway(key, hops), limits,
                             [&self, key, from = upstream == nullptr ? std::string{} : upstream->m_instance,
                              asked = steady_now()](const net::call_end&, net::http_response got) {
                                 on_part(self, key, from, asked, std::move(got));
                             });
}

auto fetch_part(daemon& self, const part_key& key) -> void {
    auto* const version = find_version(self, key);
    if (version == nullptr || version->m_too_large || version->m_parts[key.m_index].m_asked) {
        return;
    }
    auto& part = version->m_parts[key.m_index];
    const auto age = steady_now() - self.m_core.m_started;
    if (age < acquaintance_time && key.m_index == fleet::manifest_index) {
        // Whoever asks does better to turn to another source than to wait.
        refuse_waiting(part);
        return;
    }
    if (age < acquaintance_time) {
        part.m_asked = true;
        self.m_core.m_loop.after(acquaintance_time - age, [&self, key] {
            if (auto* const later = find_version(self, key)) {
                later->m_parts[key.m_index].m_asked = false;
                fetch_part(self, key);
            }
        });
        return;
    }
    if (key.m_index != fleet::manifest_index && !version->m_manifest) {
        fetch_part(self, {key.m_model, key.m_version, fleet::manifest_index});
        return;
    }
    const auto* const known = self.m_core.m_configuration ? fleet::find_origin(*self.m_core.m_configuration) : nullptr;
    const auto at_origin = part.m_unanswered >= most_unanswered || part.m_hops >= most_hops;
    const auto* const upstream = at_origin ? nullptr
                                           : fleet::upstream_of(self.m_core.m_members, self.m_core.m_self,
                                                                {key.m_version, key.m_index}, steady_now());
    if (upstream == nullptr && known == nullptr) {
        refuse_waiting(part);
        return;
    }
    part.m_asked = true;
    if (upstream == nullptr && self.m_weights.m_at_origin >= most_at_origin) {
        self.m_weights.m_line.push_back(key);
        return;
    }
    send_call(self, key, part.m_hops + 1U, upstream);
}

using version_place = decltype(weights_relay::m_versions)::iterator;

/*! @brief Forgets a version, and refuses those who wait for it. @return The version after it. */
auto forget_version(weights_relay& relay, const version_place which) -> version_place {
    for (auto& [index, part] : which->second.m_parts) {
        refuse_waiting(part);
    }
    return relay.m_versions.erase(which);
}

/*! @brief Makes room for one more version: the one asked for longest ago goes. */
auto make_room(weights_relay& relay) -> void {
    while (relay.m_versions.size() >= most_versions) {
        forget_version(
            relay, std::ranges::min_element(relay.m_versions, {}, [](const auto& each) { return each.second.m_used; }));
    }
}

} // namespace

} // namespace internal

auto on_weights(daemon& self, const net::http_request& incoming, const std::shared_ptr<net::responder>& answer)
    -> void {
    const auto read = internal::read_call(incoming.m_target);
    if (!read) {
        internal::send_away(answer);
        return;
    }
    if (internal::find_version(self, read->m_key) == nullptr) {
        internal::make_room(self.m_weights);
    }
    auto& version = self.m_weights.m_versions[{read->m_key.m_model, read->m_key.m_version}];
    version.m_used = steady_now();
    if (version.m_too_large) {
        internal::send_away(answer);
        return;
    }
    auto& part = version.m_parts[read->m_key.m_index];
    if (!part.m_bytes.empty()) {
        answer->respond({internal::status_ok, {}, part.m_bytes});
        return;
    }
    part.m_hops = std::max(part.m_hops, read->m_hops);
    part.m_waiting.push_back(answer);
    internal::fetch_part(self, read->m_key);
}

auto sweep_weights(daemon& self, const time_point now) -> void {
    auto& versions = self.m_weights.m_versions;
    for (auto each = versions.begin(); each != versions.end();) {
        const auto is_used = now - each->second.m_used < internal::keep_time;
        each = is_used ? std::next(each) : internal::forget_version(self.m_weights, each);
    }
}

} // namespace rhubarbwharf::gateway
