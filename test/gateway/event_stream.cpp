#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <gateway/event_stream.hpp>

namespace rhubarbwharf::gateway {

TEST_CASE("only complete events are returned, and the last event id is kept") {
    event_stream stream{};
    stream.append("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(stream.take_complete_events() == "id: 1\ndata: a\n\n");
    CHECK(stream.last_event_id() == "1");
    CHECK(stream.has_partial_event());
    stream.drop_partial_event();
    CHECK_FALSE(stream.has_partial_event());
    stream.append("id:2\r\ndata: b\r\n\r\n");
    CHECK(stream.take_complete_events() == "id:2\r\ndata: b\r\n\r\n");
    CHECK(stream.last_event_id() == "2");
}

TEST_CASE("a stream that continues with another response keeps its last id until that response has one") {
    event_stream stream{};
    stream.append("id: 1\ndata: a\n\nid: 2\nda");
    CHECK(stream.take_complete_events() == "id: 1\ndata: a\n\n");
    event_stream other{};
    other.append("id: 2\ndata: ");
    stream.continue_with(other);
    CHECK(stream.last_event_id() == "1");
    stream.append("b\n\n");
    CHECK(stream.take_complete_events() == "id: 2\ndata: b\n\n");
    CHECK(stream.last_event_id() == "2");
    event_stream ahead{};
    ahead.append("id: 3\ndata: c\n\n");
    CHECK(ahead.take_complete_events() == "id: 3\ndata: c\n\n");
    stream.continue_with(ahead);
    CHECK(stream.last_event_id() == "3");
}

TEST_CASE("bytes without a complete event are counted, comments among them, and events end the count") {
    const std::string part(max_event_bytes / 8U, 'x');
    event_stream stream{};
    stream.append("id: 1\ndata: ");
    for (auto index = 0; index < 7; ++index) {
        stream.append(part);
        CHECK(stream.take_complete_events().empty());
    }
    CHECK_FALSE(stream.is_event_too_large());
    stream.append("\n\n: ");
    CHECK(stream.take_complete_events().size() > 7U * part.size());
    for (auto index = 0; index < 7; ++index) {
        stream.append(part + "\n\n: ");
        CHECK_FALSE(stream.take_complete_events().empty());
        CHECK_FALSE(stream.is_event_too_large());
    }
    stream.append("\n\nid:2\ndata: y\n\n");
    CHECK_FALSE(stream.take_complete_events().empty());
    CHECK_FALSE(stream.is_event_too_large());
    for (auto index = 0; index < 9; ++index) {
        stream.append(": " + part + "\r\n\r\n");
        CHECK_FALSE(stream.take_complete_events().empty());
    }
    CHECK(stream.is_event_too_large());
    stream.append("data: z\n\n");
    CHECK_FALSE(stream.take_complete_events().empty());
    CHECK_FALSE(stream.is_event_too_large());
    stream.append(std::string(max_event_bytes + 1U, 'x'));
    CHECK(stream.take_complete_events().empty());
    CHECK(stream.is_event_too_large());
    stream.continue_with({});
    CHECK_FALSE(stream.is_event_too_large());
}

TEST_CASE("the returned events do not depend on how the bytes are split") {
    CHECK(rc::check([] {
        std::string text{};
        const auto count = *rc::gen::inRange(1, 20);
        for (auto index = 1; index <= count; ++index) {
            text += "id: " + std::to_string(index) + "\ndata: " + std::string(*rc::gen::inRange(0U, 30U), 'x') + "\n\n";
        }
        event_stream stream{};
        std::string out{};
        std::size_t position{};
        while (position < text.size()) {
            const auto length = *rc::gen::inRange<std::size_t>(1U, 40U);
            stream.append(std::string_view{text}.substr(position, length));
            out += stream.take_complete_events();
            position += length;
        }
        RC_ASSERT(out == text);
        RC_ASSERT(stream.last_event_id() == std::to_string(count));
        RC_ASSERT(!stream.has_partial_event());
    }));
}

} // namespace rhubarbwharf::gateway
