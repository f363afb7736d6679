#include <utility>

#include <fleet.pb.h>
#include <node/boot_clock.hpp>
#include <node/configurations.hpp>
#include <node/evacuations.hpp>
#include <node/pulse.hpp>
#include <node/targets.hpp>
#include <node/traffic.hpp>
#include <platform/decode.hpp>
#include <platform/encode.hpp>
#include <rhubarbwharf/core/deflate.hpp>

namespace rhubarbwharf::node {

namespace internal {

constexpr std::string_view configuration_path = "/configuration";
constexpr std::uint16_t status_ok = 200U;
constexpr std::uint16_t status_not_found = 404U;
/*! @brief Time to connect to a gateway, and longest time without a byte of its answer. */
constexpr duration max_silence = std::chrono::milliseconds{600};
/*! @brief Longest time for an answer that keeps arriving over a busy link; asking again would fill the link once more.
 */
constexpr duration max_answer_time = std::chrono::seconds{6};
/*! @brief Most bytes of a configuration: a value of the store has at most 1 MiB. */
constexpr std::size_t max_configuration_bytes = std::size_t{1024} * 1024U;
/*! @brief Most bytes of an answer: bytes that do not shrink grow by less than a thousandth, and some hundred versions
 * of weights take a few KiB. */
constexpr std::size_t max_answer_bytes = max_configuration_bytes + std::size_t{64} * 1024U;

namespace {

/*! @brief Returns the compressed configuration in force, which is kept until another one is. */
[[nodiscard]] auto compressed_configuration(core& self, const bool for_loader) -> const std::string& {
    auto& copy = self.m_compressed_configuration;
    const auto version = self.m_configuration->m_version;
    if (std::exchange(copy.m_version, version) != version) {
        copy.m_whole.clear();
        copy.m_for_loaders.clear();
    }
    const auto& text = self.m_configuration->m_source_text;
    if (for_loader && copy.m_for_loaders.empty()) {
        copy.m_for_loaders = deflate(adapter::encode_loader_configuration(text));
    } else if (!for_loader && copy.m_whole.empty()) {
        copy.m_whole = deflate(text);
    }
    return for_loader ? copy.m_for_loaders : copy.m_whole;
}

auto note_failure(core& self, const std::string& gateway, const std::uint16_t status) -> void {
    fleet::note_failed_offer(self.m_configuration_offers, gateway, status != 0U, steady_now());
    self.m_events.write("configuration.not_received",
                        {{"source", gateway},
                         {"status", static_cast<std::int64_t>(status)},
                         {"version", static_cast<std::int64_t>(configuration_version(self))}});
    self.m_counters.add("configuration_requests_failed_total");
}

/*! @brief Chooses the gateway to ask. Those that can't be asked for it are marked, so that another one is. */
[[nodiscard]] auto choose_gateway(core& self, const std::uint64_t known, const time_point now)
    -> std::optional<std::string> {
    auto chosen = fleet::choose_offer(self.m_configuration_offers, known, self.m_random(), now);
    while (chosen && sends_configuration_in_state(self, *chosen)) {
        fleet::note_failed_offer(self.m_configuration_offers, *chosen, true, now);
        chosen = fleet::choose_offer(self.m_configuration_offers, known, self.m_random(), now);
    }
    return chosen;
}

/*! @brief Applies an answer. @param requested_at When it was requested, of the boot-time clock. */
auto on_answer(core& self, const std::string& gateway, const time_point requested_at,
               const net::http_response& response) -> void {
    self.m_configuration_call = nullptr;
    wire::fleet::State state{};
    if (response.m_status == status_ok && state.ParseFromString(response.m_body)) {
        accept_state(self, state, gateway, requested_at);
    }
    fleet::discard_offers(self.m_configuration_offers, configuration_version(self));
    if (self.m_configuration_offers.m_by_gateway.contains(gateway)) {
        note_failure(self, gateway, response.m_status);
    }
    request_configuration(self);
}

} // namespace

auto may_request_configuration(const core& self, const time_point last_request, const time_point now) -> bool {
    const auto is_gateway = self.m_follows_servers;
    return is_gateway || !self.m_configuration || now - last_request >= min_loader_request_interval;
}

auto sends_configuration_in_state(const core& self, const std::string_view gateway) -> bool {
    const auto row = self.m_members.find(gateway);
    const auto answers_requests = row != self.m_members.end() && row->second.m_member.m_bulk_address.m_port != 0U;
    return !answers_requests || fleet::has_refused(self.m_configuration_offers, gateway);
}

} // namespace internal

auto offer_configuration(core& self, const std::string_view gateway, const std::uint64_t version,
                         const fleet::offer_source source) -> void {
    fleet::note_offer(self.m_configuration_offers, gateway, version, source, internal::configuration_version(self),
                      steady_now());
    request_configuration(self);
}

auto request_configuration(core& self) -> void {
    const auto now = steady_now();
    const auto known = internal::configuration_version(self);
    fleet::discard_offers(self.m_configuration_offers, known);
    if (self.m_configuration_call ||
        !internal::may_request_configuration(self, self.m_last_configuration_request, now)) {
        return;
    }
    const auto gateway = internal::choose_gateway(self, known, now);
    if (!gateway) {
        return;
    }
    self.m_last_configuration_request = now;
    self.m_counters.add("state_requests_total", 1.0, "configuration");
    self.m_events.write("configuration.requested",
                        {{"source", *gateway}, {"version", static_cast<std::int64_t>(known)}});
    net::http_request request{};
    request.m_target = std::string{internal::configuration_path} + "?after=" + std::to_string(known) +
                       (self.m_follows_servers ? "" : "&for=loader");
    net::call_limits limits{};
    limits.m_total_time = internal::max_answer_time;
    limits.m_idle_time = internal::max_silence;
    limits.m_connect_time = internal::max_silence;
    limits.m_body_bytes = internal::max_answer_bytes;
    const auto& address = self.m_members.find(*gateway)->second.m_member.m_bulk_address;
    self.m_configuration_call = self.m_http.fetch(address, std::move(request), limits,
                                                  [&self, gateway = *gateway, requested_at = boot_now()](
                                                      const net::call_end&, const net::http_response& response) {
                                                      internal::on_answer(self, gateway, requested_at, response);
                                                  });
}

auto compress_configuration(core& self, wire::fleet::State& state) -> void {
    if (!state.configuration().empty()) {
        state.clear_configuration();
        state.set_compressed_configuration(internal::compressed_configuration(self, false));
    }
}

auto configuration_text(const wire::fleet::State& state) -> std::optional<std::string> {
    if (!state.configuration().empty()) {
        return state.configuration();
    }
    return state.compressed_configuration().empty()
               ? std::nullopt
               : inflate(state.compressed_configuration(), internal::max_configuration_bytes);
}

auto relay_configuration(core& self) -> void {
    const auto targets = fleet::list_relay_targets(self.m_members, self.m_self, self.m_watches_store, steady_now());
    if (!self.m_follows_servers || targets.empty()) {
        return;
    }
    wire::fleet::Frame frame{};
    frame.mutable_state()->set_relayed_configuration(internal::configuration_version(self));
    send_to(self, targets, frame);
}

auto answer_configuration_request(core& self, const net::http_request& request,
                                  const std::shared_ptr<net::responder>& responder) -> bool {
    const std::string_view target{request.m_target};
    if (target.substr(0U, target.find('?')) != internal::configuration_path) {
        return false;
    }
    const auto after = adapter::query_value(request.m_target, "after");
    const auto is_newer = self.m_configuration && std::to_string(self.m_configuration->m_version) != after;
    if (!is_newer) {
        responder->respond({internal::status_not_found, {}, {}});
        return true;
    }
    const auto for_loader = adapter::query_value(request.m_target, "for") == "loader";
    wire::fleet::State state{};
    add_targets(self, state);
    add_evacuations(self, *state.mutable_evacuations());
    state.set_compressed_configuration(internal::compressed_configuration(self, for_loader));
    auto bytes = state.SerializeAsString();
    internal::count_sent(self, for_loader ? "loader_configuration" : "configuration", bytes.size());
    responder->respond({internal::status_ok, {{"Content-Type", "application/x-protobuf"}}, std::move(bytes)});
    return true;
}

} // namespace rhubarbwharf::node
