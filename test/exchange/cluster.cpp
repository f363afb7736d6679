#include <algorithm>
#include <charconv>

#include <rhubarbwharf.pb.h>

#include "exchange/cluster.hpp"

namespace rhubarbwharf::exchange::test {

namespace {

constexpr std::uint16_t status_partial = 206;
constexpr std::uint16_t status_not_found = 404;
constexpr duration check_interval = std::chrono::milliseconds{5};
constexpr duration run_timeout = std::chrono::minutes{2};

[[nodiscard]] auto requested_part(const std::string& bytes, std::string_view range) -> std::string {
    range.remove_prefix(std::string_view{"bytes="}.size());
    const auto dash = range.find('-');
    const auto first = std::stoull(std::string{range.substr(0, dash)});
    const auto last = std::stoull(std::string{range.substr(dash + 1U)});
    return bytes.substr(first, last - first + 1U);
}

auto handle_request(fake_origin& origin, const net::http_request& request,
                    const std::shared_ptr<net::responder>& responder) -> void {
    for (const auto& version : origin.m_versions) {
        if (request.m_target == "/manifests/" + to_hex(version.m_manifest_digest)) {
            responder->respond({200, {}, version.m_manifest_text});
            return;
        }
        if (request.m_target == version.m_manifest.m_source) {
            auto body = requested_part(version.m_content, net::find(request.m_headers, "Range"));
            origin.m_sent_bytes += body.size();
            if (origin.m_remaining_corrupt_responses > 0) {
                --origin.m_remaining_corrupt_responses;
                body.front() = static_cast<char>(body.front() + 1);
            }
            responder->respond({status_partial, {}, std::move(body)});
            return;
        }
    }
    responder->respond({status_not_found, {}, {}});
}

[[nodiscard]] auto limits_of(const config::settings& settings) -> net::http_limits {
    net::http_limits limits{};
    limits.m_send_queue_bytes = settings.m_limits.m_send_queue_bytes;
    return limits;
}

} // namespace

auto make_test_version(const std::string_view version, const std::size_t size, const std::uint32_t chunk_bytes)
    -> test_version {
    test_version created{};
    created.m_content.reserve(size);
    for (std::size_t index = 0; index < size; ++index) {
        created.m_content.push_back(static_cast<char>(mix(stable_hash(version), index)));
    }
    created.m_manifest = {"chef",
                          std::string{version},
                          size,
                          chunk_bytes,
                          sha256(created.m_content),
                          {},
                          "/weights/chef-" + std::string{version}};
    for (std::size_t first = 0; first < size; first += chunk_bytes) {
        created.m_manifest.m_chunks.push_back(sha256(std::string_view{created.m_content}.substr(first, chunk_bytes)));
    }
    created.m_manifest_text = distribution::serialize(created.m_manifest);
    created.m_manifest_digest = sha256(created.m_manifest_text);
    return created;
}

fake_origin::fake_origin(net::loop& loop, std::vector<test_version> versions)
    : m_versions{std::move(versions)}, m_server{loop,
                                                {},
                                                [this](const net::http_request& request,
                                                       const std::shared_ptr<net::responder>& responder) {
                                                    handle_request(*this, request, responder);
                                                }} {
    static_cast<void>(m_server.listen({"127.0.0.1", 0}));
}

instance::instance(net::loop& loop, const config::settings& settings)
    : m_http{loop}, m_bus{loop,
                          settings.m_instance,
                          {},
                          [this](const std::string_view from, const std::string_view bytes) {
                              wire::Envelope message{};
                              if (!m_unresponsive &&
                                  message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
                                  m_exchange.on_message(from, message);
                              }
                          }},
      m_exchange{loop,
                 m_http,
                 m_counters,
                 settings,
                 [this](const std::string_view recipient, const wire::Envelope& message) {
                     if (!m_unresponsive) {
                         static_cast<void>(m_bus.send(recipient, message.SerializeAsString()));
                     }
                 },
                 [this](const digest& manifest) {
                     m_completed.push_back(manifest);
                 }},
      m_server{loop, limits_of(settings),
               [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                   if (!m_unresponsive) {
                       m_exchange.serve(request, responder);
                   }
               }} {
    static_cast<void>(m_bus.listen({"127.0.0.1", 0}));
    static_cast<void>(m_server.listen({"127.0.0.1", 0}));
    m_peer = {settings.m_instance,
              settings.m_region,
              settings.m_backend.m_group,
              {"127.0.0.1", m_bus.port()},
              {"127.0.0.1", m_server.port()},
              false};
}

cluster::cluster(std::vector<test_version> versions, const std::vector<std::string>& regions,
                 const std::uint32_t per_region, std::function<void(config::settings&)> adjust_settings)
    : m_origin{m_loop, std::move(versions)}, m_adjust_settings{std::move(adjust_settings)} {
    for (const auto& region : regions) {
        for (std::uint32_t index = 0; index < per_region; ++index) {
            emplace(region);
        }
    }
    m_loop.every(check_interval, [this] {
        if (m_condition && m_condition()) {
            m_condition_met = true;
            m_loop.stop();
        }
    });
}

auto cluster::emplace(const std::string& region) -> instance& {
    config::settings settings{};
    settings.m_role = config::role::agent;
    settings.m_instance = region + "-" + std::to_string(m_instances.size());
    settings.m_region = region;
    settings.m_backend.m_group = "chef";
    settings.m_distribution.m_origin = net::to_string({"127.0.0.1", m_origin.m_server.port()});
    settings.m_distribution.m_origin_region = "ost";
    if (m_adjust_settings) {
        m_adjust_settings(settings);
    }
    m_instances.push_back(std::make_unique<instance>(m_loop, settings));
    std::vector<peer> peers{};
    std::ranges::for_each(m_instances, [&peers](const auto& item) { peers.push_back(item->m_peer); });
    for (const auto& item : m_instances) {
        for (const auto& other : peers) {
            if (other.m_instance != item->m_peer.m_instance) {
                item->m_bus.connect(other.m_instance, other.m_bus_endpoint);
            }
        }
        item->m_exchange.set_peers(peers);
    }
    return *m_instances.back();
}

auto cluster::run_until(const std::function<bool()>& condition) -> bool {
    m_condition = condition;
    m_condition_met = false;
    m_loop.after(run_timeout, [this] { m_loop.stop(); });
    m_loop.run();
    m_condition = {};
    return m_condition_met;
}

auto cluster::all_complete(const digest& manifest) const -> bool {
    return std::ranges::all_of(m_instances, [&manifest](const auto& item) {
        return item->m_unresponsive || std::ranges::count(item->m_completed, manifest) == 1;
    });
}

} // namespace rhubarbwharf::exchange::test
