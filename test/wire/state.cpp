#include <doctest/doctest.h>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/wire/state.hpp>

namespace {

namespace ticket = rhubarbwharf::ticket;
namespace wire = rhubarbwharf::wire;

} // namespace

TEST_CASE("entries are unchanged by a round trip through a push, and malformed ones are skipped") {
    const auto manifest = rhubarbwharf::sha256(std::string_view{"manifest"});
    const std::vector<ticket::scope_entry> entries{
        {"group:a", rhubarbwharf::ticket_number{3}, {"model", manifest, "adapter", "decode", false}},
        {"group:b", rhubarbwharf::ticket_number{4}, {}}};
    wire::StatePush push{};
    wire::append_entries(push, entries);
    CHECK(wire::decode_entries(push) == entries);
    push.add_entries()->set_ticket(5);
    auto& malformed = *push.add_entries();
    malformed.set_scope("group:c");
    malformed.mutable_state()->set_manifest("short");
    CHECK(wire::decode_entries(push) == entries);
}
