#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <gateway/daemon.hpp>
#include <net/fixture.hpp>
#include <rhubarbwharf/core/digest.hpp>

namespace rhubarbwharf::gateway {

namespace {

constexpr std::uint64_t version = 2U;
constexpr std::size_t pieces = 4U;

[[nodiscard]] auto settings() -> config::node_settings {
    config::node_settings out{};
    out.m_role = "gateway";
    out.m_instance = "gateway-1";
    out.m_region = "region-1";
    out.m_data_centre = "dc-1";
    out.m_listen.m_bus = "127.0.0.1:0";
    out.m_store.m_address = "127.0.0.1:1";
    return out;
}

[[nodiscard]] auto unpadded_piece(const std::uint64_t index) -> std::string {
    return "bytes of piece " + std::to_string(index);
}

/*! @brief A gateway with an origin that counts the requests it receives. */
struct fixture {
    daemon m_gateway{settings(), {}};
    net::http_server m_origin;
    net::http_client m_loader{m_gateway.m_core.m_loop};
    unsigned m_manifest_requests{};
    unsigned m_piece_requests{};
    unsigned m_corrupt_responses{};
    bool m_origin_down{false};
    /*! @brief Padding added to each piece, in bytes. */
    std::size_t m_padding{};
    std::vector<net::http_response> m_responses{};

    fixture()
        : m_origin{m_gateway.m_core.m_loop, net::http_limits{},
                   [this](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                       on_origin(request, responder);
                   }} {
        net::ensure_listening(m_origin);
        net::ensure_listening(m_gateway.m_bulk_server);
        m_gateway.m_core.m_started -= std::chrono::seconds{10};
        const boost::json::array services{
            boost::json::object{{"name", "weights"}, {"origin", "127.0.0.1:" + std::to_string(m_origin.port())}}};
        node::accept_configuration(m_gateway.m_core,
                                   boost::json::serialize(boost::json::object{{"version", 1},
                                                                              {"routes", boost::json::array{}},
                                                                              {"services", services},
                                                                              {"limits", boost::json::object{}},
                                                                              {"tenants", boost::json::array{}}}),
                                   "test");
        REQUIRE(m_gateway.m_core.m_configuration != nullptr);
    }

    [[nodiscard]] auto piece_body(const std::uint64_t index) const -> std::string {
        return unpadded_piece(index) + std::string(m_padding, 'x');
    }

    auto on_origin(const net::http_request& request, const std::shared_ptr<net::responder>& responder) -> void {
        if (m_origin_down) {
            responder->respond(net::problem(code::overloaded, outcome::not_run, {}, duration::zero()));
            return;
        }
        if (request.m_target.starts_with("/api/manifest/")) {
            ++m_manifest_requests;
            boost::json::array digests{};
            for (std::size_t index = 0U; index < pieces; ++index) {
                digests.emplace_back(to_hex(sha256(piece_body(index))));
            }
            responder->respond({200U,
                                {},
                                boost::json::serialize(
                                    boost::json::object{{"model", "m"}, {"version", version}, {"digests", digests}})});
            return;
        }
        ++m_piece_requests;
        const auto index = std::strtoull(adapter::query_value(request.m_target, "chunk-count").c_str(), nullptr, 10);
        responder->respond(
            {200U, {}, m_corrupt_responses > 0U && m_corrupt_responses-- > 0U ? "corrupt" : piece_body(index)});
    }

    auto fetch(const std::string& target) -> void {
        net::http_request request{};
        request.m_target = target;
        m_loader.fetch(
            net::local(m_gateway.m_bulk_server.port()), std::move(request), net::call_limits{},
            [this](const net::call_end&, net::http_response response) { m_responses.push_back(std::move(response)); });
    }

    auto fetch_piece(const std::size_t index) -> void {
        fetch("/piece?model=m&version=2&index=" + std::to_string(index));
    }

    [[nodiscard]] auto wait(const std::size_t responses) -> bool {
        return net::run_until(m_gateway.m_core.m_loop, [this, responses] { return m_responses.size() >= responses; });
    }
};

} // namespace

TEST_CASE("concurrent requests for a piece cause one call for it to the origin") {
    fixture here{};
    constexpr std::size_t loaders = 6U;
    for (std::size_t count = 0U; count < loaders; ++count) {
        here.fetch_piece(3U);
    }
    REQUIRE(here.wait(loaders));
    for (const auto& each : here.m_responses) {
        CHECK(each.m_status == 200U);
        CHECK(each.m_body == unpadded_piece(3U));
    }
    CHECK(here.m_manifest_requests == 1U);
    CHECK(here.m_piece_requests == 1U);
    here.fetch("/manifest?model=m&version=2");
    REQUIRE(here.wait(loaders + 1U));
    CHECK(here.m_responses.back().m_status == 200U);
    CHECK(here.m_manifest_requests == 1U);
}

TEST_CASE("a corrupt piece is neither forwarded nor cached") {
    fixture here{};
    here.m_corrupt_responses = 1U;
    here.fetch_piece(0U);
    REQUIRE(here.wait(1U));
    CHECK(here.m_responses[0].m_status == 503U);
    here.fetch_piece(0U);
    REQUIRE(here.wait(2U));
    CHECK(here.m_responses[1].m_body == unpadded_piece(0U));
}

TEST_CASE("the manifest is fetched again after several corrupt pieces") {
    fixture here{};
    here.m_corrupt_responses = 3U;
    for (std::size_t index = 0U; index < 3U; ++index) {
        here.fetch_piece(index);
    }
    REQUIRE(here.wait(3U));
    here.fetch_piece(0U);
    REQUIRE(here.wait(4U));
    CHECK(here.m_responses[3].m_body == unpadded_piece(0U));
    CHECK(here.m_manifest_requests == 2U);
}

TEST_CASE("requests are refused at once while the origin is down, and served once it is back") {
    fixture here{};
    here.m_origin_down = true;
    here.fetch_piece(1U);
    here.fetch("/manifest?model=m&version=2");
    REQUIRE(here.wait(2U));
    CHECK(here.m_responses[0].m_status == 503U);
    CHECK(here.m_responses[1].m_status == 503U);
    here.m_origin_down = false;
    here.fetch_piece(1U);
    REQUIRE(here.wait(3U));
    CHECK(here.m_responses[2].m_body == unpadded_piece(1U));
}

TEST_CASE("a version is no longer relayed once it exceeds the cache limit") {
    fixture here{};
    here.m_padding = std::size_t{6} * 1024U * 1024U;
    std::size_t requested{};
    for (; requested < pieces; ++requested) {
        here.fetch_piece(requested);
        REQUIRE(here.wait(requested + 1U));
    }
    CHECK(here.m_responses[0].m_status == 200U);
    CHECK(here.m_responses[pieces - 1U].m_status == 404U);
    CHECK(here.m_gateway.m_weights_relay.m_versions.begin()->second.m_parts.empty());
    here.fetch_piece(0U);
    REQUIRE(here.wait(requested + 1U));
    CHECK(here.m_responses.back().m_status == 404U);
}

TEST_CASE("a request that names no part is refused, and versions that are no longer requested are evicted") {
    fixture here{};
    for (const auto* const target : {"/piece?model=m&version=2", "/piece?model=m&version=x&index=1",
                                     "/piece?version=2&index=1", "/piece?model=m&version=2&index=99999999", "/other"}) {
        here.fetch(target);
    }
    REQUIRE(here.wait(5U));
    for (const auto& each : here.m_responses) {
        CHECK(each.m_status == 404U);
    }
    CHECK(here.m_gateway.m_weights_relay.m_versions.empty());
    here.fetch_piece(1U);
    REQUIRE(here.wait(6U));
    CHECK(here.m_gateway.m_weights_relay.m_versions.size() == 1U);
    evict_unused_weights(here.m_gateway, steady_now() + std::chrono::hours{1});
    CHECK(here.m_gateway.m_weights_relay.m_versions.empty());
}

namespace {

/*! @brief Adds a runner of the gateway's region that holds the version, with its loader. */
auto add_holder(fixture& here, const net::http_server& loader, const std::string& region) -> void {
    fleet::member member{};
    member.m_instance = "side-" + region;
    member.m_region = region;
    member.m_incarnation = 7U;
    member.m_bulk_address = net::local(loader.port());
    node::update_member(here.m_gateway.m_core, member, true);
    auto backend = std::make_shared<dispatch::server_load>();
    backend->m_id = "i-" + region;
    backend->m_loader = member.m_instance;
    backend->m_last_heard = steady_now();
    backend->m_models = {{"m", version, 1U}};
    here.m_gateway.m_backends.emplace(backend->m_id, backend);
}

} // namespace

// Load pattern: empty runners are added to a region whose others hold the version.
TEST_CASE("a piece that a runner of the region holds is read from its loader, once for all, and not from the origin") {
    fixture here{};
    unsigned reads{};
    net::http_server loader{here.m_gateway.m_core.m_loop, net::http_limits{},
                            [&](const net::http_request& request, const std::shared_ptr<net::responder>& responder) {
                                ++reads;
                                const auto index = adapter::query_value(request.m_target, "index");
                                responder->respond({200U, {}, unpadded_piece(std::stoul(index))});
                            }};
    net::ensure_listening(loader);
    SUBCASE("a loader of the region") {
        add_holder(here, loader, "region-1");
        for (const auto piece : {0U, 1U, 1U, 0U}) {
            here.fetch_piece(piece);
        }
        REQUIRE(here.wait(4U));
        CHECK(here.m_piece_requests == 0U);
        CHECK(reads == 2U);
    }
    SUBCASE("a loader of another region is not asked") {
        add_holder(here, loader, "region-2");
        here.fetch_piece(0U);
        REQUIRE(here.wait(1U));
        CHECK(here.m_piece_requests == 1U);
        CHECK(reads == 0U);
    }
    for (const auto& each : here.m_responses) {
        CHECK(each.m_status == 200U);
    }
}

TEST_CASE("a piece that a loader delivers corrupt, or not at all, is read from the origin for the same request") {
    fixture here{};
    net::http_response answer{};
    SUBCASE("corrupt") {
        answer = {200U, {}, "other bytes"};
    }
    SUBCASE("refused") {
        answer = net::problem(code::chunk_unavailable, outcome::not_run, {}, duration::zero());
    }
    SUBCASE("not found") {
        answer = {404U, {}, {}};
    }
    net::http_server loader{here.m_gateway.m_core.m_loop, net::http_limits{},
                            [&](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
                                responder->respond(answer);
                            }};
    net::ensure_listening(loader);
    add_holder(here, loader, "region-1");
    here.fetch_piece(2U);
    REQUIRE(here.wait(1U));
    CHECK(here.m_responses[0].m_status == 200U);
    CHECK(here.m_responses[0].m_body == unpadded_piece(2U));
    CHECK(here.m_piece_requests == 1U);
}

} // namespace rhubarbwharf::gateway
