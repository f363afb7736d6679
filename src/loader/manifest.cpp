#include <algorithm>
#include <utility>

#include <loader/daemon.hpp>
#include <loader/swap.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/fleet/relay.hpp>

namespace rhubarbwharf::loader {

namespace internal {

/*! @brief Sources that are asked one after the other before a pause: a gateway, the origin, another loader. */
constexpr unsigned manifest_sources = 3U;
/*! @brief Longest addition to the pause before a manifest is asked for again, so that loaders do not ask together. */
constexpr std::uint64_t manifest_jitter_ms = 200U;

namespace {

/*! @brief Finds the question for a version's manifest, if it is still open. */
[[nodiscard]] auto find_question(daemon& self, const std::string& name, const std::uint64_t version)
    -> manifest_question* {
    const auto found = self.m_models.find(name);
    if (found == self.m_models.end()) {
        return nullptr;
    }
    auto& model = found->second;
    if (model.m_version == version) {
        return &model.m_question;
    }
    return model.m_next == version ? &model.m_next_question : nullptr;
}

/*! @brief Chooses whom to ask: a gateway that relays weights, the origin and another loader by turns.
 * @return Name of the gateway or loader; empty for the origin. */
[[nodiscard]] auto source_of(daemon& self, const model_state& model, const unsigned turn, const bool has_origin)
    -> std::string {
    const auto random = self.m_core.m_random();
    if (!model.m_relays.empty() && turn % manifest_sources == 0U) {
        return model.m_relays[random % model.m_relays.size()].m_instance;
    }
    const auto from_peer = !model.m_peers.empty() && (!has_origin || turn % manifest_sources == 2U);
    return from_peer ? model.m_peers[random % model.m_peers.size()].m_instance : std::string{};
}

/*! @brief Takes a manifest over, or asks again after a pause. */
auto on_manifest(daemon& self, const std::string& name, const std::uint64_t version, net::http_response got) -> void {
    const auto* const question = find_question(self, name, version);
    if (question == nullptr) {
        return;
    }
    auto read = got.m_status == status_ok ? adapter::decode_manifest(got.m_body) : std::nullopt;
    if (!read || read->m_version != version) {
        const auto round = question->m_tries % manifest_sources == 0U;
        const auto jitter = std::chrono::milliseconds{self.m_core.m_random() % manifest_jitter_ms};
        const auto pause = round ? duration{ask_period + jitter} : duration::zero();
        self.m_core.m_loop.after(pause, [&self, name, version] {
            if (auto* const again = find_question(self, name, version)) {
                again->m_asked = false;
            }
        });
        return;
    }
    auto& model = self.m_models[name];
    const auto tries = question->m_tries;
    if (model.m_next == version) {
        begin_version(self, model, version);
        model.m_question.m_asked = true;
    }
    self.m_core.m_events.write("manifest.read", {{"model", name},
                                                 {"version", static_cast<std::int64_t>(version)},
                                                 {"tries", static_cast<std::int64_t>(tries)}});
    model.m_spoilt = 0U;
    model.m_pieces.resize(read->m_pieces.size(), piece_state::missing);
    model.m_manifest = std::move(read);
    model.m_manifest_text = std::move(got.m_body);
    check_early_pieces(self, model);
    advance(self);
}

} // namespace

} // namespace internal

auto ask_manifest(daemon& self, const model_state& model, const std::uint64_t version, manifest_question& question)
    -> void {
    const auto* const from = self.m_core.m_configuration ? fleet::find_origin(*self.m_core.m_configuration) : nullptr;
    if (question.m_asked) {
        return;
    }
    const auto name = internal::source_of(self, model, question.m_tries++, from != nullptr);
    if (name.empty() && from == nullptr) {
        return;
    }
    question.m_asked = true;
    auto limits = internal::origin_limits();
    auto ask = adapter::encode_manifest_call(model.m_name, version);
    auto where = from == nullptr ? net::endpoint{} : from->m_address;
    if (!name.empty()) {
        ask = net::http_request{};
        ask.m_target = fleet::transfer_target("manifest", model.m_name, version);
        where = self.m_core.m_members[name].m_member.m_bulk;
        limits.m_total_time = internal::ask_time;
    }
    self.m_core.m_http.fetch(where, std::move(ask), limits,
                             [&self, name = model.m_name, version](const net::call_end&, net::http_response got) {
                                 internal::on_manifest(self, name, version, std::move(got));
                             });
}

} // namespace rhubarbwharf::loader
