#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/loader/proof.hpp>

namespace rhubarbwharf::loader {

namespace {

[[nodiscard]] constexpr auto at(const int ms) -> time_point {
    return time_point{std::chrono::milliseconds{ms}};
}

constexpr acceptance_window accepted{at(10'000), at(12'000)};

/*! @brief A piece that was written before the order, and found intact by a read. */
[[nodiscard]] auto intact(const int requested_ms, const int answered_ms, const int written_ms = 1'000)
    -> piece_evidence {
    piece_evidence out{};
    record_write(out, at(written_ms));
    record_intact(out, at(requested_ms), at(answered_ms));
    return out;
}

} // namespace

// A piece that was read once and turned corrupt before the runner accepted the order was loaded and served.
TEST_CASE("a read proves a piece only if it may have been corrupt for a short time when the order was accepted") {
    CHECK(judge_piece(intact(9'400, 9'500), accepted) == piece_judgement::unread);
    CHECK(judge_piece(intact(9'500, 9'600), accepted) == piece_judgement::proven);
    CHECK(judge_piece(intact(11'000, 11'100), accepted) == piece_judgement::proven);
    CHECK(judge_piece(intact(60'000, 60'100), accepted) == piece_judgement::proven);
    CHECK(judge_piece({}, accepted) == piece_judgement::unread);
}

TEST_CASE("a piece that is found corrupt after the order was accepted is doubtful unless it was proven before") {
    auto old = intact(5'000, 5'100);
    old.m_corrupt = true;
    CHECK(judge_piece(old, accepted) == piece_judgement::doubtful);
    auto recent = intact(9'900, 9'950);
    recent.m_corrupt = true;
    CHECK(judge_piece(recent, accepted) == piece_judgement::proven);
}

// A corrupt piece that was replaced after the runner had taken it would be read intact.
TEST_CASE("a piece that may have been written after the order was accepted is doubtful") {
    CHECK(judge_piece(intact(60'000, 60'100, 10'500), accepted) == piece_judgement::doubtful);
    CHECK(judge_piece(intact(60'000, 60'100, 10'000), accepted) == piece_judgement::doubtful);
    CHECK(judge_piece(intact(60'000, 60'100, 9'999), accepted) == piece_judgement::proven);
    // A write without a response may still take effect; only what was read before the order counts.
    CHECK(judge_piece(intact(9'700, 9'800, 40'000), accepted) == piece_judgement::proven);
    CHECK(judge_piece(intact(9'700, 10'100, 40'000), accepted) == piece_judgement::doubtful);
    piece_evidence written{};
    record_write(written, at(11'000));
    CHECK(judge_piece(written, accepted) == piece_judgement::doubtful);
}

TEST_CASE("a load is proven once all of its pieces are") {
    std::vector<piece_evidence> pieces{intact(11'000, 11'100), intact(5'000, 5'100)};
    CHECK(judge_load(pieces, accepted).m_unread == std::vector<std::size_t>{1U});
    record_intact(pieces[1U], at(13'000), at(13'100));
    CHECK(judge_load(pieces, accepted).is_proven());
    record_write(pieces[0U], at(14'000));
    CHECK(judge_load(pieces, accepted).m_doubtful == std::vector<std::size_t>{0U});
}

TEST_CASE("an order was accepted after it was sent, or the last report without it, and before the first sign of it") {
    acceptance_record record{};
    record_report(record, 7U, 3U, at(100), at(110));
    REQUIRE(record.m_last.has_value());
    CHECK(record.m_last->m_earliest == time_point{});
    CHECK(record.m_last->m_latest == at(110));
    record_report(record, 7U, 3U, at(200), at(210));
    SUBCASE("by its response") {
        record_acceptance(record, 7U, 4U, {at(250), at(300)});
        record_report(record, 7U, 4U, at(350), at(360));
        // Requested before the order was accepted, and answered late.
        record_report(record, 7U, 3U, at(290), at(400));
        CHECK(record.m_last->m_earliest == at(250));
        CHECK(record.m_last->m_latest == at(300));
        CHECK(record.m_reported_at == at(350));
    }
    SUBCASE("by a report") {
        record_report(record, 7U, 4U, at(350), at(360));
        record_acceptance(record, 7U, 4U, {at(250), at(370)});
        CHECK(record.m_last->m_earliest == at(200));
        CHECK(record.m_last->m_latest == at(360));
    }
    SUBCASE("a response of a former incarnation says nothing") {
        record_report(record, 8U, 0U, at(400), at(410));
        record_acceptance(record, 7U, 4U, {at(250), at(420)});
        CHECK_FALSE(record.m_last.has_value());
    }
}

// An order for the version that a runner holds has no effect, so that a doubtful layer would be kept for ever.
TEST_CASE("a runner gives up doubtful layers by an order that leaves it without a complete version") {
    CHECK(choose_discard(5U, 16U, 48U, std::vector<std::size_t>{4U}) == layer_range{4U, 0U, 1U});
    CHECK(choose_discard(1U, 16U, 48U, std::vector<std::size_t>{1U, 4U}) == layer_range{1U, 2U, 3U});
    // Ten pieces of four layers: piece 2 belongs to the first and the second one.
    CHECK(choose_discard(1U, 4U, 10U, std::vector<std::size_t>{2U}) == layer_range{1U, 2U, 3U});
    CHECK_FALSE(choose_discard(1U, 2U, 2U, std::vector<std::size_t>{0U, 1U}).has_value());
    CHECK_FALSE(choose_discard(2U, 1U, 2U, std::vector<std::size_t>{0U}).has_value());
}

} // namespace rhubarbwharf::loader
