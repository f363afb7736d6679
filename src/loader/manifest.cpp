#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/transfer.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::loader {

namespace internal {

/*! @brief Number of sources tried in turn before a delay: a gateway, the origin and another loader. */
constexpr unsigned manifest_source_count = 3U;
/*! @brief Upper bound of the jitter before the next attempt, so that loaders do not request a manifest together. */
constexpr std::uint64_t max_manifest_jitter_ms = 200U;

namespace {

/*! @brief Finds the request for a version's manifest. @return Null if the version is no longer wanted. */
[[nodiscard]] auto find_manifest_request(daemon& self, const std::string& name, const std::uint64_t version)
    -> manifest_request* {
    const auto found = self.m_models.find(name);
    if (found == self.m_models.end()) {
        return nullptr;
    }
    auto& model = found->second;
    if (model.m_version == version) {
        return &model.m_manifest_request;
    }
    if (model.m_next_version == version) {
        return &model.m_next_manifest_request;
    }
    const auto is_previous = model.m_open_orders.m_is_inherited && version + 1U == model.m_version;
    return is_previous ? &model.m_previous_manifest_request : nullptr;
}

/*! @brief Chooses the source of an attempt: a gateway that relays weights, the origin or another loader, in turn.
 * @return Name of the gateway or loader; empty for the origin. */
[[nodiscard]] auto choose_manifest_source(daemon& self, const model_state& model, const unsigned attempt,
                                          const bool has_origin) -> std::string {
    const auto random = self.m_core.m_random();
    if (!model.m_relays.empty() && attempt % manifest_source_count == 0U) {
        return model.m_relays[random % model.m_relays.size()].m_instance;
    }
    const auto use_peer = !model.m_peers.empty() && (!has_origin || attempt % manifest_source_count == 2U);
    return use_peer ? model.m_peers[random % model.m_peers.size()].m_instance : std::string{};
}

/*! @brief Stores a valid manifest, or schedules the next attempt. */
auto on_manifest(daemon& self, const std::string& name, const std::uint64_t version, net::http_response response)
    -> void {
    const auto* const pending = find_manifest_request(self, name, version);
    if (pending == nullptr) {
        return;
    }
    const auto must_wait =
        self.m_models[name].m_version < version && may_be_accepted(self.m_models[name].m_open_orders);
    auto manifest = response.m_status == status_ok ? adapter::decode_manifest(response.m_body) : std::nullopt;
    if (!manifest || manifest->m_version != version || must_wait) {
        const auto all_sources_tried = pending->m_attempts % manifest_source_count == 0U;
        const auto jitter = std::chrono::milliseconds{self.m_core.m_random() % max_manifest_jitter_ms};
        const auto delay = all_sources_tried ? duration{peer_query_interval + jitter} : duration::zero();
        self.m_core.m_loop.after(delay, [&self, name, version] {
            if (auto* const current = find_manifest_request(self, name, version)) {
                current->m_requested = false;
            }
        });
        return;
    }
    auto& model = self.m_models[name];
    if (version < model.m_version) {
        model.m_previous_manifest = std::move(manifest);
        model.m_previous_manifest_text = std::move(response.m_body);
        check_inherited_orders(self, model);
        return;
    }
    const auto tries = pending->m_attempts;
    if (model.m_next_version == version) {
        begin_version(self, model, version);
        model.m_manifest_request.m_requested = true;
    }
    self.m_core.m_events.write("manifest.read", {{"model", name},
                                                 {"version", static_cast<std::int64_t>(version)},
                                                 {"tries", static_cast<std::int64_t>(tries)}});
    model.m_corrupt_pieces = 0U;
    model.m_pieces.resize(manifest->m_digests.size(), piece_state::missing);
    model.m_manifest = std::move(manifest);
    model.m_manifest_text = std::move(response.m_body);
    verify_pending_pieces(self, model);
    advance_models(self);
}

} // namespace

} // namespace internal

auto request_manifest(daemon& self, const model_state& model, const std::uint64_t version, manifest_request& pending)
    -> void {
    const auto* const origin = self.m_core.m_configuration ? fleet::find_origin(*self.m_core.m_configuration) : nullptr;
    if (pending.m_requested) {
        return;
    }
    const auto name = internal::choose_manifest_source(self, model, pending.m_attempts++, origin != nullptr);
    if (name.empty() && origin == nullptr) {
        return;
    }
    pending.m_requested = true;
    auto limits = internal::origin_call_limits();
    limits.m_body_bytes = internal::max_manifest_bytes;
    auto request = adapter::encode_manifest_request(model.m_name, version);
    auto address = origin == nullptr ? net::endpoint{} : origin->m_address;
    if (!name.empty()) {
        request = net::http_request{};
        request.m_target = fleet::transfer_target("manifest", model.m_name, version);
        address = self.m_core.m_members[name].m_member.m_bulk_address;
        limits.m_total_time = internal::peer_call_timeout;
    }
    self.m_core.m_http.fetch(address, std::move(request), limits,
                             [&self, name = model.m_name, version](const net::call_end&, net::http_response response) {
                                 internal::on_manifest(self, name, version, std::move(response));
                             });
}

} // namespace rhubarbwharf::loader
