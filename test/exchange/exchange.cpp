#include <algorithm>

#include <doctest/doctest.h>

#include "exchange/cluster.hpp"

using namespace rhubarbwharf;
using exchange::test::cluster;
using exchange::test::make_test_version;

namespace {

constexpr std::uint32_t chunk_bytes = 16U * 1024U;
constexpr std::size_t content_bytes = 40U * chunk_bytes - 100U;

auto fetch_on_all(cluster& nodes, const digest& manifest) -> void {
    std::ranges::for_each(nodes.m_instances, [&manifest](const auto& item) { item->m_exchange.add_version(manifest); });
}

/*! @brief Reads the complete version from an instance, as the engine does. */
[[nodiscard]] auto read_complete(cluster& nodes, std::size_t index, const digest& manifest) -> net::http_response {
    net::http_response response{};
    auto done = false;
    net::http_request request{};
    request.m_target = "/v1/weights/" + to_hex(manifest);
    nodes.m_instances[index]->m_http.fetch(nodes.m_instances[index]->m_peer.m_bulk_endpoint, std::move(request), {},
                                           [&](const net::call_end& end, net::http_response received) {
                                               REQUIRE(end.m_code == code::ok);
                                               response = std::move(received);
                                               done = true;
                                           });
    REQUIRE(nodes.run_until([&done] { return done; }));
    return response;
}

[[nodiscard]] auto counter_sum(const cluster& nodes, const std::string_view name, const std::string_view label)
    -> double {
    double sum = 0;
    std::ranges::for_each(nodes.m_instances, [&](const auto& item) { sum += item->m_counters.value(name, label); });
    return sum;
}

} // namespace

TEST_CASE("three regions complete a version while the origin sends less than two copies") {
    const auto version = make_test_version("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west", "sued"}, 3U};
    fetch_on_all(nodes, version.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(version.m_manifest_digest); }));
    CHECK(nodes.m_origin.m_sent_bytes < 2U * version.m_content.size());
    const auto response = read_complete(nodes, 8U, version.m_manifest_digest);
    CHECK(response.m_body == version.m_content);
    const auto state = nodes.m_instances[8]->m_exchange.progress_of(version.m_manifest_digest);
    CHECK(state.m_complete);
    CHECK(state.m_chunks_total == 40U);
    CHECK(state.m_content_digest == version.m_manifest.m_content);
    CHECK(nodes.m_instances[8]->m_exchange.dump().find("\"whole\":true") != std::string::npos);
}

TEST_CASE("an instance without peers reads from the origin") {
    const auto version = make_test_version("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"west"}, 1U};
    CHECK(read_complete(nodes, 0U, version.m_manifest_digest).m_status == 404);
    fetch_on_all(nodes, version.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(version.m_manifest_digest); }));
    CHECK(nodes.m_origin.m_sent_bytes == version.m_content.size());
}

TEST_CASE("corrupt chunks are fetched again, and every instance serves the correct content") {
    const auto version = make_test_version("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west"}, 2U};
    nodes.m_origin.m_remaining_corrupt_responses = 5;
    fetch_on_all(nodes, version.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(version.m_manifest_digest); }));
    CHECK(counter_sum(nodes, "exchange_corrupt_chunks", "origin") == 5.0);
    for (std::size_t index = 0; index < 4U; ++index) {
        CHECK(read_complete(nodes, index, version.m_manifest_digest).m_body == version.m_content);
    }
}

TEST_CASE("a new version reuses held chunks with equal digests") {
    auto first = make_test_version("1", content_bytes, chunk_bytes);
    auto second = first;
    second.m_content.replace(0, chunk_bytes, std::string(chunk_bytes, 'x'));
    second.m_manifest.m_chunks[0] = sha256(std::string_view{second.m_content}.substr(0, chunk_bytes));
    second.m_manifest.m_content = sha256(second.m_content);
    second.m_manifest.m_version = "2";
    second.m_manifest.m_source = "/weights/chef-2";
    second.m_manifest_text = distribution::serialize(second.m_manifest);
    second.m_manifest_digest = sha256(second.m_manifest_text);
    cluster nodes{{first, second}, {"ost"}, 2U};
    fetch_on_all(nodes, first.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(first.m_manifest_digest); }));
    const auto sent_bytes_before = nodes.m_origin.m_sent_bytes;
    fetch_on_all(nodes, second.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(second.m_manifest_digest); }));
    CHECK(nodes.m_origin.m_sent_bytes - sent_bytes_before <= 2U * chunk_bytes);
    for (const auto& item : nodes.m_instances) {
        item->m_exchange.remove_version(first.m_manifest_digest);
        CHECK(item->m_exchange.progress_of(first.m_manifest_digest).m_chunks_total == 0U);
    }
    CHECK(read_complete(nodes, 0U, second.m_manifest_digest).m_body == second.m_content);
}

TEST_CASE("unresponsive instances are bypassed, and an instance that joins late fetches no chunks from the origin") {
    const auto version = make_test_version("1", content_bytes, chunk_bytes);
    cluster nodes{{version}, {"ost", "west"}, 3U, [](config::settings& settings) {
                      settings.m_distribution.m_fetch_ms = 1'000;
                  }};
    nodes.m_instances[1]->m_unresponsive = true;
    nodes.m_instances[4]->m_unresponsive = true;
    fetch_on_all(nodes, version.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(version.m_manifest_digest); }));
    nodes.emplace("west").m_exchange.add_version(version.m_manifest_digest);
    REQUIRE(nodes.run_until([&] { return nodes.all_complete(version.m_manifest_digest); }));
    CHECK(nodes.m_instances.back()->m_counters.value("exchange_chunks", "origin") == 0.0);
}
