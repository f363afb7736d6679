#include <algorithm>

#include <doctest/doctest.h>

#include "exchange/cluster.hpp"

using namespace rhubarbwharf;
using exchange::test::cluster;
using exchange::test::make_content;

namespace {

constexpr std::uint32_t chunk_bytes = 16U * 1024U;
constexpr std::size_t content_bytes = 40U * chunk_bytes - 100U;

auto want_all(cluster& nodes, const digest& name) -> void {
    std::ranges::for_each(nodes.m_instances, [&name](const auto& item) { item->m_exchange.want(name); });
}

/*! @brief Reads the whole version from an instance, as the engine does. */
[[nodiscard]] auto read_whole(cluster& nodes, std::size_t place, const digest& name) -> net::http_response {
    net::http_response got{};
    auto done = false;
    net::http_request request{};
    request.m_target = "/v1/weights/" + to_hex(name);
    nodes.m_instances[place]->m_http.fetch(nodes.m_instances[place]->m_peer.m_bulk, std::move(request), {},
                                           [&](const net::call_end& end, net::http_response answer) {
                                               REQUIRE(end.m_code == code::ok);
                                               got = std::move(answer);
                                               done = true;
                                           });
    REQUIRE(nodes.run_until([&done] { return done; }));
    return got;
}

[[nodiscard]] auto total(const cluster& nodes, const std::string_view name, const std::string_view label) -> double {
    double sum = 0;
    std::ranges::for_each(nodes.m_instances, [&](const auto& item) { sum += item->m_counts.value(name, label); });
    return sum;
}

} // namespace

TEST_CASE("three regions get a version whole from one copy of the origin") {
    const auto version = make_content("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west", "sued"}, 3U};
    want_all(nodes, version.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(version.m_name); }));
    CHECK(nodes.m_origin.m_bytes < 2U * version.m_bytes.size());
    const auto got = read_whole(nodes, 8U, version.m_name);
    CHECK(got.m_body == version.m_bytes);
    const auto state = nodes.m_instances[8]->m_exchange.state(version.m_name);
    CHECK(state.m_whole);
    CHECK(state.m_total == 40U);
    CHECK(state.m_content == version.m_manifest.m_content);
    CHECK(nodes.m_instances[8]->m_exchange.dump().find("\"whole\":true") != std::string::npos);
}

TEST_CASE("one instance without peers reads from the origin") {
    const auto version = make_content("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"west"}, 1U};
    CHECK(read_whole(nodes, 0U, version.m_name).m_status == 404);
    want_all(nodes, version.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(version.m_name); }));
    CHECK(nodes.m_origin.m_bytes == version.m_bytes.size());
}

TEST_CASE("corrupt chunks are fetched again and never offered") {
    const auto version = make_content("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west"}, 2U};
    nodes.m_origin.m_corrupt = 5;
    want_all(nodes, version.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(version.m_name); }));
    CHECK(total(nodes, "exchange_corrupt_chunks", "origin") == 5.0);
    for (std::size_t place = 0; place < 4U; ++place) {
        CHECK(read_whole(nodes, place, version.m_name).m_body == version.m_bytes);
    }
}

TEST_CASE("a changed version keeps the chunks of which it shares the digest") {
    auto first = make_content("1", content_bytes, chunk_bytes);
    auto second = first;
    second.m_bytes.replace(0, chunk_bytes, std::string(chunk_bytes, 'x'));
    second.m_manifest.m_chunks[0] = sha256(std::string_view{second.m_bytes}.substr(0, chunk_bytes));
    second.m_manifest.m_content = sha256(second.m_bytes);
    second.m_manifest.m_version = "2";
    second.m_manifest.m_source = "/weights/chef-2";
    second.m_text = distribution::write(second.m_manifest);
    second.m_name = sha256(second.m_text);
    cluster nodes{{first, second}, {"ost"}, 2U};
    want_all(nodes, first.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(first.m_name); }));
    const auto before = nodes.m_origin.m_bytes;
    want_all(nodes, second.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(second.m_name); }));
    CHECK(nodes.m_origin.m_bytes - before <= 2U * chunk_bytes);
    for (const auto& item : nodes.m_instances) {
        item->m_exchange.drop(first.m_name);
        CHECK(item->m_exchange.state(first.m_name).m_total == 0U);
    }
    CHECK(read_whole(nodes, 0U, second.m_name).m_body == second.m_bytes);
}

TEST_CASE("a late instance joins, and one that answers nothing is passed over") {
    const auto version = make_content("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west"}, 3U, [](config::settings& settings) {
                      settings.m_distribution.m_fetch_ms = 1'000;
                  }};
    nodes.m_instances[1]->m_frozen = true;
    nodes.m_instances[4]->m_frozen = true;
    want_all(nodes, version.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(version.m_name); }));
    nodes.emplace("west").m_exchange.want(version.m_name);
    REQUIRE(nodes.run_until([&] { return nodes.all_whole(version.m_name); }));
    CHECK(nodes.m_instances.back()->m_counts.value("exchange_chunks", "origin") == 0.0);
}
