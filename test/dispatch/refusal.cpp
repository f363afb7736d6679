#include <memory>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr time_point start{std::chrono::hours{1}};

[[nodiscard]] auto refused_server() -> std::shared_ptr<server_load> {
    auto out = std::make_shared<server_load>();
    out->m_slots = 4U;
    out->m_quota = 4.0;
    out->m_other_requests = 1.0;
    record_refusal(*out, start);
    return out;
}

} // namespace

TEST_CASE("a server that refused a request counts as full for a while, if it sends no report") {
    const std::vector rows{refused_server()};
    const placement_options options{};
    expire_refusals(rows, start + refusal_memory - duration{1});
    CHECK_FALSE(has_capacity(*rows.front(), options));
    expire_refusals(rows, start + refusal_memory);
    CHECK(has_capacity(*rows.front(), options));
    CHECK(rows.front()->m_other_requests == 1.0);
}

TEST_CASE("a further refusal extends the time, and the load before the first is kept") {
    const std::vector rows{refused_server()};
    record_refusal(*rows.front(), start + refusal_memory / 2);
    expire_refusals(rows, start + refusal_memory);
    CHECK_FALSE(has_capacity(*rows.front(), {}));
    expire_refusals(rows, start + refusal_memory * 2);
    CHECK(rows.front()->m_other_requests == 1.0);
}

TEST_CASE("a report replaces what a refusal said") {
    const std::vector rows{refused_server()};
    rows.front()->m_other_requests = 7.0;
    rows.front()->m_counts_as_full = false;
    expire_refusals(rows, start + refusal_memory * 2);
    CHECK(rows.front()->m_other_requests == 7.0);
}

} // namespace rhubarbwharf::dispatch
