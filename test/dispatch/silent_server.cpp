#include <array>
#include <vector>

#include <doctest/doctest.h>

#include <rhubarbwharf/dispatch/placement.hpp>

namespace rhubarbwharf::dispatch {

namespace {

constexpr unsigned slots = 16U;
constexpr duration tick = std::chrono::milliseconds{50};
/*! @brief Time after which the caller of a stream without an event leaves. */
constexpr duration caller_patience = std::chrono::milliseconds{3'200};
const time_point start{std::chrono::hours{1}};

/*! @brief Two runners that report and react until one of them stands still; all slots are always wanted. */
struct full_fleet {
    server_load m_sound{};
    server_load m_still{};
    std::vector<time_point> m_sent_to_still{};
    time_point m_now{start};

    full_fleet() {
        for (auto* const row : {&m_sound, &m_still}) {
            row->m_slots = slots;
            row->m_quota = static_cast<double>(slots);
            row->m_data_centre = "here";
            row->m_last_reported = m_now;
            row->m_last_heard = m_now;
        }
        m_sound.m_id = "sound";
        m_still.m_id = "still";
    }

    /*! @brief Sends requests until none has a place. */
    auto send_all() -> void {
        placement_options options{};
        options.m_data_centre = "here";
        for (;;) {
            const std::array<const server_load*, 2U> rows{&m_sound, &m_still};
            const auto chosen = choose_server(rows, nullptr, {}, options, 7U, m_now);
            if (!chosen) {
                return;
            }
            record_request(chosen->m_index == 0U ? m_sound : m_still, m_now);
            if (chosen->m_index == 1U) {
                m_sent_to_still.push_back(m_now);
            }
        }
    }

    /*! @brief Lets time pass in which only the sound runner reacts, and ends one request there. */
    auto pass(const duration time) -> void {
        for (const auto end = m_now + time; m_now < end; m_now += tick) {
            record_sign_of_life(m_sound, m_now);
            m_sound.m_last_reported = m_now;
            record_request_end(m_sound, m_now);
            send_all();
        }
    }

    auto leave_still() -> void {
        for (unsigned index = 0U; index < slots; ++index) {
            record_request_end(m_still, m_now);
        }
    }
};

} // namespace

TEST_CASE("a runner that stands still gets no further request but one when its callers have left") {
    full_fleet fleet{};
    fleet.send_all();
    REQUIRE(fleet.m_still.m_own_requests == slots);
    fleet.pass(caller_patience);
    CHECK(is_silent(fleet.m_still, fleet.m_now));
    CHECK_FALSE(is_silent(fleet.m_sound, fleet.m_now));
    fleet.leave_still();
    fleet.pass(caller_patience);
    CHECK(fleet.m_sent_to_still.size() == slots + 1U);
    record_sign_of_life(fleet.m_still, fleet.m_now);
    CHECK_FALSE(is_silent(fleet.m_still, fleet.m_now));
    fleet.send_all();
    CHECK(fleet.m_still.m_own_requests == slots);
}

TEST_CASE("a runner that reports is not silent, however long its answers take") {
    full_fleet fleet{};
    fleet.send_all();
    for (auto passed = duration::zero(); passed < caller_patience; passed += tick) {
        fleet.m_still.m_last_reported = fleet.m_now;
        fleet.pass(tick);
    }
    CHECK_FALSE(is_silent(fleet.m_still, fleet.m_now));
}

TEST_CASE("a server that answered and was idle may get a burst at once") {
    full_fleet fleet{};
    record_request(fleet.m_still, fleet.m_now);
    record_sign_of_life(fleet.m_still, fleet.m_now);
    record_request_end(fleet.m_still, fleet.m_now);
    fleet.m_now += std::chrono::hours{1};
    CHECK_FALSE(is_silent(fleet.m_still, fleet.m_now));
    fleet.send_all();
    CHECK(fleet.m_still.m_own_requests == slots);
}

} // namespace rhubarbwharf::dispatch
