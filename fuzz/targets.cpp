#include "targets.hpp"

#include <array>

#include <boost/leaf/handle_errors.hpp>
#include <rhubarbwharf.pb.h>

#include <rhubarbwharf/config/load.hpp>
#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/core/base64.hpp>
#include <rhubarbwharf/distribution/manifest.hpp>
#include <rhubarbwharf/execution/segment.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/ticket/json.hpp>
#include <rhubarbwharf/wire/state.hpp>

#include "agent/engine.hpp"
#include "agent/events.hpp"
#include "entry/wire.hpp"
#include "platform/wire.hpp"

namespace rhubarbwharf::fuzz {

namespace internal {

namespace {

/*! @brief Runs a parser that returns a result; an error must carry an error code other than `ok`. */
template <typename Reader>
auto check_parser(const Reader& read) -> void {
    boost::leaf::try_handle_all(
        [&]() -> result<void> { return read(); },
        [](const error& failed) { ensure(failed.m_code != code::ok, "a parse error has a code other than ok"); },
        [] { ensure(false, "a parse failure carries an error object"); });
}

auto settings(const std::string_view bytes) -> void {
    const auto read = config::parse(bytes, "input");
    if (const auto* const faults = std::get_if<std::vector<config::fault>>(&read)) {
        ensure(!faults->empty(), "rejected settings have at least one fault");
        for (const auto& each : *faults) {
            ensure(!config::to_string(each).empty(), "a fault has a text representation");
        }
    }
}

auto ticket(const std::string_view bytes) -> void {
    check_parser([bytes]() -> result<void> {
        BOOST_LEAF_AUTO(first, ticket::parse_ticket(bytes));
        const auto text = ticket::to_json(first);
        BOOST_LEAF_AUTO(second, ticket::parse_ticket(text));
        ensure(ticket::to_json(second) == text, "a ticket survives a round trip through JSON");
        return {};
    });
}

auto state(const std::string_view bytes) -> void {
    check_parser([bytes]() -> result<void> {
        BOOST_LEAF_AUTO(first, ticket::parse_state(bytes));
        const auto text = ticket::to_json(first);
        BOOST_LEAF_AUTO(second, ticket::parse_state(text));
        ensure(ticket::to_json(second) == text, "a state survives a round trip through JSON");
        return {};
    });
}

auto manifest(const std::string_view bytes) -> void {
    check_parser([bytes]() -> result<void> {
        BOOST_LEAF_AUTO(first, distribution::parse(bytes));
        BOOST_LEAF_AUTO(second, distribution::parse(distribution::serialize(first)));
        ensure(second == first, "a manifest survives a round trip through its serialized form");
        std::uint64_t covered{};
        for (std::uint32_t chunk = 0U; chunk < first.m_chunks.size(); ++chunk) {
            covered += distribution::chunk_range(first, chunk).m_size;
        }
        ensure(covered == first.m_size_bytes, "the chunks cover the content");
        return {};
    });
}

auto envelope(const std::string_view bytes) -> void {
    wire::Envelope message{};
    if (!message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return;
    }
    if (message.has_report()) {
        static_cast<void>(entry::report_of("peer", message));
    }
    if (message.has_state_push()) {
        wire::StatePush reencoded{};
        wire::append_entries(reencoded, wire::decode_entries(message.state_push()));
    }
}

auto segment(const std::string_view bytes) -> void {
    if (const auto first = execution::decode(bytes)) {
        const auto text = execution::encode_header(*first) + execution::encode_records(first->m_records);
        ensure(execution::decode(text).has_value(), "a decoded segment can be encoded and decoded again");
    }
}

auto endpoint(const std::string_view bytes) -> void {
    if (const auto first = net::parse_endpoint(bytes)) {
        ensure(net::parse_endpoint(net::to_string(*first)) == first, "an endpoint survives a round trip through text");
    }
    const auto quoted = net::json_string(bytes);
    ensure(quoted.size() >= bytes.size() + 2U, "a quoted string is at least two bytes longer than its input");
}

auto platform(const std::string_view bytes) -> void {
    using namespace rhubarbwharf::platform::internal;
    static_cast<void>(parse_range(bytes));
    static_cast<void>(parse_txn(bytes));
    static_cast<void>(parse_grant(bytes));
    static_cast<void>(parse_keep_alive(bytes));
    static_cast<void>(parse_watch(bytes));
    if (const auto decoded = from_base64(bytes)) {
        ensure(from_base64(to_base64(*decoded)) == decoded, "bytes survive a round trip through Base64");
    }
}

auto engine(const std::string_view bytes) -> void {
    static_cast<void>(agent::parse_engine_state(bytes));
    const auto half = bytes.size() / 2U;
    agent::event_scanner scanner{.m_is_stream = true};
    auto output = agent::scan(scanner, bytes.substr(0U, half)).m_bytes;
    output += agent::scan(scanner, bytes.substr(half)).m_bytes;
    ensure(output.size() + scanner.m_rest.size() <= bytes.size(), "a scanner outputs no more bytes than it received");
}

constexpr auto table = std::to_array<target>({{"settings", settings},
                                              {"ticket", ticket},
                                              {"state", state},
                                              {"manifest", manifest},
                                              {"envelope", envelope},
                                              {"segment", segment},
                                              {"endpoint", endpoint},
                                              {"platform", platform},
                                              {"engine", engine}});

} // namespace

} // namespace internal

auto targets() noexcept -> std::span<const target> {
    return internal::table;
}

} // namespace rhubarbwharf::fuzz
