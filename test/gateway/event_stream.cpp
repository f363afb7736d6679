#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <gateway/event_stream.hpp>

namespace rhubarbwharf::gateway {

TEST_CASE("only whole events are handed on, and the last id is kept") {
    event_stream stream{};
    stream.feed("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(stream.take() == "id: 1\ndata: a\n\n");
    CHECK(stream.last_id() == "1");
    CHECK(stream.has_part());
    stream.drop_part();
    CHECK_FALSE(stream.has_part());
    stream.feed("id:2\r\ndata: b\r\n\r\n");
    CHECK(stream.take() == "id:2\r\ndata: b\r\n\r\n");
    CHECK(stream.last_id() == "2");
}

TEST_CASE("however the bytes are cut, the events come out the same") {
    CHECK(rc::check([] {
        std::string text{};
        const auto count = *rc::gen::inRange(1, 20);
        for (auto index = 1; index <= count; ++index) {
            text += "id: " + std::to_string(index) + "\ndata: " + std::string(*rc::gen::inRange(0U, 30U), 'x') + "\n\n";
        }
        event_stream stream{};
        std::string out{};
        std::size_t at{};
        while (at < text.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1U, 40U);
            stream.feed(std::string_view{text}.substr(at, length));
            out += stream.take();
            at += length;
        }
        RC_ASSERT(out == text);
        RC_ASSERT(stream.last_id() == std::to_string(count));
        RC_ASSERT(!stream.has_part());
    }));
}

} // namespace rhubarbwharf::gateway
