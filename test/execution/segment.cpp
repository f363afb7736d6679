#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <rhubarbwharf/execution/segment.hpp>

namespace rhubarbwharf::execution {

namespace {

[[nodiscard]] auto record_of(const int kind) -> record {
    record value{};
    value.m_kind = static_cast<record_kind>(kind);
    value.m_key = hash_idempotency_key("kitchen", "ledger", *rc::gen::arbitrary<std::string>());
    if (value.m_kind == record_kind::claim) {
        value.m_content = hash_content("POST", "/payments", *rc::gen::arbitrary<std::string>());
        value.m_key_time_ms = *rc::gen::arbitrary<std::uint64_t>();
    }
    if (value.m_kind == record_kind::end) {
        value.m_answer = {201, "application/json", *rc::gen::arbitrary<std::string>(), false};
    }
    return value;
}

} // namespace

TEST_CASE("a segment decodes to what was encoded if its records were appended one by one") {
    CHECK(rc::check("round trip", [] {
        segment written{*rc::gen::arbitrary<std::uint64_t>(),
                        fencing_token{*rc::gen::arbitrary<std::uint64_t>()},
                        "ledger-1/7",
                        *rc::gen::arbitrary<std::uint64_t>(),
                        *rc::gen::arbitrary<bool>(),
                        {}};
        auto bytes = encode_header(written);
        for (const auto kind : *rc::gen::container<std::vector<int>>(8, rc::gen::inRange(1, 4))) {
            written.m_records.push_back(record_of(kind));
            bytes += encode_records(std::span{&written.m_records.back(), 1});
        }
        const auto read = decode(bytes);
        RC_ASSERT(read.has_value());
        RC_ASSERT(read->m_token == written.m_token);
        RC_ASSERT(read->m_sealed == written.m_sealed);
        RC_ASSERT(encode_header(*read) + encode_records(read->m_records) == bytes);
    }));
}

TEST_CASE("bytes that are not a valid segment are rejected") {
    CHECK_FALSE(decode("\xff\xff\xff"));
    record unknown{};
    unknown.m_kind = static_cast<record_kind>(9);
    CHECK_FALSE(decode(encode_records(std::span{&unknown, 1})));
}

TEST_CASE("the records of a key with a small answer take less than 1024 bytes") {
    record claim{record_kind::claim,
                 hash_idempotency_key("kitchen", "ledger", "1764800000000-1"),
                 hash_content("POST", "/payments", "{}"),
                 1'764'800'000'000U,
                 {}};
    record end{record_kind::end, claim.m_key, {}, 0, {201, "application/json", R"({"ok":true})", false}};
    const auto claim_bytes = encode_records(std::span{&claim, 1}).size();
    const auto end_bytes = encode_records(std::span{&end, 1}).size();
    MESSAGE("claim " << claim_bytes << " bytes, end with an answer of 11 bytes " << end_bytes << " bytes");
    CHECK(claim_bytes + end_bytes < 1024);
}

} // namespace rhubarbwharf::execution
