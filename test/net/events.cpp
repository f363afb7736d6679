#include <algorithm>
#include <array>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <rhubarbwharf/net/events.hpp>

#include "net/fixture.hpp"

using namespace rhubarbwharf;
using namespace rhubarbwharf::net;

namespace {

/*! @brief Pipe whose writing end a log uses. */
struct pipe_pair {
    pipe_pair() {
        std::array<int, 2U> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        m_read = ends[0];
        m_write = ends[1];
        fcntl(m_read, F_SETFL, O_NONBLOCK);
        fcntl(m_write, F_SETFL, O_NONBLOCK);
    }

    ~pipe_pair() {
        close(m_read);
        close(m_write);
    }

    pipe_pair(const pipe_pair&) = delete;
    pipe_pair(pipe_pair&&) = delete;
    auto operator=(const pipe_pair&) -> pipe_pair& = delete;
    auto operator=(pipe_pair&&) -> pipe_pair& = delete;

    [[nodiscard]] auto take() const -> std::string {
        std::string out{};
        std::array<char, 65'536U> space{};
        for (auto count = read(m_read, space.data(), space.size()); count > 0;
             count = read(m_read, space.data(), space.size())) {
            out.append(space.data(), static_cast<std::size_t>(count));
        }
        return out;
    }

    int m_read{};
    int m_write{};
};

} // namespace

TEST_CASE("an event is one JSON object a line, whatever its texts hold") {
    loop owner{};
    pipe_pair ends{};
    event_log log{owner, "edge-1"};
    log.set_descriptor(ends.m_write);
    log.write("request.sent", {{"id", "a\"b\n"}, {"try", std::int64_t{2}}, {"load", 1.5}, {"late", true}});
    log.flush();
    const auto text = ends.take();
    CHECK(text.find(R"("instance":"edge-1","event":"request.sent","id":"a\"b\n","try":2,"load":1.500,"late":true})") !=
          std::string::npos);
    CHECK(std::ranges::count(text, '\n') == 1);
}

TEST_CASE("a reader that stops never holds the process up, and learns later how many lines it has lost") {
    loop owner{};
    pipe_pair ends{};
    event_log log{owner, "edge-1"};
    log.set_descriptor(ends.m_write);
    const std::string payload(1'000U, 'x');
    for (auto count = 0; count < 2'000; ++count) {
        log.write("request.ended", {{"id", payload}});
        log.flush();
    }
    CHECK(log.dropped() > 0U);
    for (auto round = 0; round < 100; ++round) {
        static_cast<void>(ends.take());
        log.flush();
    }
    log.write("after", {});
    log.flush();
    CHECK(ends.take().find("\"event\":\"log.dropped\",\"lines\":" + std::to_string(log.dropped())) !=
          std::string::npos);
}
