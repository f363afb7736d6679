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

[[nodiscard]] auto piece_text(const std::uint64_t index) -> std::string {
    return "bytes of piece " + std::to_string(index);
}

/*! @brief A gateway before an origin that counts what it is asked. */
struct fixture {
    daemon m_gateway{settings(), {}};
    net::http_server m_origin;
    net::http_client m_loader{m_gateway.m_core.m_loop};
    unsigned m_manifests{};
    unsigned m_asked{};
    unsigned m_spoilt{};
    bool m_down{false};
    /*! @brief Bytes added to each piece. */
    std::size_t m_padding{};
    std::vector<net::http_response> m_got{};

    fixture()
        : m_origin{m_gateway.m_core.m_loop, net::http_limits{},
                   [this](const net::http_request& request, const std::shared_ptr<net::responder>& to) {
                       on_origin(request, to);
                   }} {
        net::ensure_listening(m_origin);
        net::ensure_listening(m_gateway.m_bulk);
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

    [[nodiscard]] auto whole_piece(const std::uint64_t index) const -> std::string {
        return piece_text(index) + std::string(m_padding, 'x');
    }

    auto on_origin(const net::http_request& request, const std::shared_ptr<net::responder>& to) -> void {
        if (m_down) {
            to->respond(net::problem(code::overloaded, outcome::not_run, {}, duration::zero()));
            return;
        }
        if (request.m_target.starts_with("/api/manifest/")) {
            ++m_manifests;
            boost::json::array digests{};
            for (std::size_t index = 0U; index < pieces; ++index) {
                digests.emplace_back(to_hex(sha256(whole_piece(index))));
            }
            to->respond({200U,
                         {},
                         boost::json::serialize(
                             boost::json::object{{"model", "m"}, {"version", version}, {"digests", digests}})});
            return;
        }
        ++m_asked;
        const auto index = std::strtoull(adapter::query_value(request.m_target, "chunk-count").c_str(), nullptr, 10);
        to->respond({200U, {}, m_spoilt > 0U && m_spoilt-- > 0U ? "spoilt" : whole_piece(index)});
    }

    auto ask(const std::string& target) -> void {
        net::http_request request{};
        request.m_target = target;
        m_loader.fetch(net::local(m_gateway.m_bulk.port()), std::move(request), net::call_limits{},
                       [this](const net::call_end&, net::http_response got) { m_got.push_back(std::move(got)); });
    }

    auto ask_piece(const std::size_t index) -> void { ask("/piece?model=m&version=2&index=" + std::to_string(index)); }

    [[nodiscard]] auto wait(const std::size_t answers) -> bool {
        return net::run_until(m_gateway.m_core.m_loop, [this, answers] { return m_got.size() >= answers; });
    }
};

} // namespace

TEST_CASE("many who ask for a piece at once cost one call to the origin") {
    fixture here{};
    constexpr std::size_t loaders = 6U;
    for (std::size_t count = 0U; count < loaders; ++count) {
        here.ask_piece(3U);
    }
    REQUIRE(here.wait(loaders));
    for (const auto& each : here.m_got) {
        CHECK(each.m_status == 200U);
        CHECK(each.m_body == piece_text(3U));
    }
    CHECK(here.m_manifests == 1U);
    CHECK(here.m_asked == 1U);
    here.ask("/manifest?model=m&version=2");
    REQUIRE(here.wait(loaders + 1U));
    CHECK(here.m_got.back().m_status == 200U);
    CHECK(here.m_manifests == 1U);
}

TEST_CASE("a spoilt piece is neither passed on nor kept") {
    fixture here{};
    here.m_spoilt = 1U;
    here.ask_piece(0U);
    REQUIRE(here.wait(1U));
    CHECK(here.m_got[0].m_status == 503U);
    here.ask_piece(0U);
    REQUIRE(here.wait(2U));
    CHECK(here.m_got[1].m_body == piece_text(0U));
}

TEST_CASE("after some spoilt pieces the manifest is read again") {
    fixture here{};
    here.m_spoilt = 3U;
    for (std::size_t index = 0U; index < 3U; ++index) {
        here.ask_piece(index);
    }
    REQUIRE(here.wait(3U));
    here.ask_piece(0U);
    REQUIRE(here.wait(4U));
    CHECK(here.m_got[3].m_body == piece_text(0U));
    CHECK(here.m_manifests == 2U);
}

TEST_CASE("what waits for an origin that is down is refused at once, and served when it is back") {
    fixture here{};
    here.m_down = true;
    here.ask_piece(1U);
    here.ask("/manifest?model=m&version=2");
    REQUIRE(here.wait(2U));
    CHECK(here.m_got[0].m_status == 503U);
    CHECK(here.m_got[1].m_status == 503U);
    here.m_down = false;
    here.ask_piece(1U);
    REQUIRE(here.wait(3U));
    CHECK(here.m_got[2].m_body == piece_text(1U));
}

TEST_CASE("a version that does not fit into memory is left to the loaders") {
    fixture here{};
    here.m_padding = std::size_t{6} * 1024U * 1024U;
    std::size_t asked{};
    for (; asked < pieces; ++asked) {
        here.ask_piece(asked);
        REQUIRE(here.wait(asked + 1U));
    }
    CHECK(here.m_got[0].m_status == 200U);
    CHECK(here.m_got[pieces - 1U].m_status == 404U);
    CHECK(here.m_gateway.m_weights.m_versions.begin()->second.m_parts.empty());
    here.ask_piece(0U);
    REQUIRE(here.wait(asked + 1U));
    CHECK(here.m_got.back().m_status == 404U);
}

TEST_CASE("a call that names no part is refused, and versions that nobody asks for are forgotten") {
    fixture here{};
    for (const auto* const target : {"/piece?model=m&version=2", "/piece?model=m&version=x&index=1",
                                     "/piece?version=2&index=1", "/piece?model=m&version=2&index=99999999", "/other"}) {
        here.ask(target);
    }
    REQUIRE(here.wait(5U));
    for (const auto& each : here.m_got) {
        CHECK(each.m_status == 404U);
    }
    CHECK(here.m_gateway.m_weights.m_versions.empty());
    here.ask_piece(1U);
    REQUIRE(here.wait(6U));
    CHECK(here.m_gateway.m_weights.m_versions.size() == 1U);
    sweep_weights(here.m_gateway, steady_now() + std::chrono::hours{1});
    CHECK(here.m_gateway.m_weights.m_versions.empty());
}

} // namespace rhubarbwharf::gateway
