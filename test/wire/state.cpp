#include <doctest/doctest.h>

#include <rhubarbwharf.pb.h>
#include <rhubarbwharf/wire/state.hpp>

namespace {

namespace ticket = rhubarbwharf::ticket;
namespace wire = rhubarbwharf::wire;

} // namespace

TEST_CASE("entries go through a push unchanged, and malformed ones are left out") {
    const auto manifest = rhubarbwharf::sha256(std::string_view{"manifest"});
    const std::vector<ticket::scope_entry> entries{
        {"group:a", rhubarbwharf::ticket_number{3}, {"model", manifest, "adapter", "decode", false}},
        {"group:b", rhubarbwharf::ticket_number{4}, {}}};
    wire::StatePush push{};
    wire::fill(push, entries);
    CHECK(wire::entries_of(push) == entries);
    push.add_entries()->set_ticket(5);
    auto& broken = *push.add_entries();
    broken.set_scope("group:c");
    broken.mutable_state()->set_manifest("short");
    CHECK(wire::entries_of(push) == entries);
}
