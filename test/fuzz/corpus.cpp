#include <filesystem>
#include <fstream>
#include <iterator>
#include <random>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <google/protobuf/stubs/logging.h>
#include <rhubarbwharf.pb.h>

#include "targets.hpp"

namespace fuzz = rhubarbwharf::fuzz;

namespace {

[[nodiscard]] auto read_corpus(const std::string_view name) -> std::vector<std::string> {
    std::vector<std::string> inputs{};
    const auto folder = std::filesystem::path{RHUBARBWHARF_SOURCE_DIR} / "fuzz" / "corpus" / name;
    for (const auto& each : std::filesystem::directory_iterator{folder}) {
        std::ifstream file{each.path(), std::ios::binary};
        inputs.emplace_back(std::istreambuf_iterator<char>{file}, std::istreambuf_iterator<char>{});
    }
    return inputs;
}

/*! @brief Changes some bytes of an input, or cuts it short. */
[[nodiscard]] auto spoil(std::string input, std::mt19937_64& random) -> std::string {
    if (input.empty()) {
        return input;
    }
    constexpr auto most_changes = 4U;
    for (auto changes = random() % most_changes; changes > 0U; --changes) {
        input[random() % input.size()] = static_cast<char>(random());
    }
    constexpr auto cut_in = 3U;
    if (random() % cut_in == 0U) {
        input.resize(random() % input.size());
    }
    return input;
}

} // namespace

TEST_CASE("every reader of foreign bytes stands its corpus, whole and spoiled") {
    constexpr std::uint64_t seed = 20261203U;
    constexpr auto rounds = 300;
    std::mt19937_64 random{seed};
    google::protobuf::SetLogHandler(nullptr);
    for (const auto& target : fuzz::targets()) {
        CAPTURE(target.m_name);
        const auto inputs = read_corpus(target.m_name);
        CHECK_FALSE(inputs.empty());
        target.m_run({});
        for (const auto& input : inputs) {
            target.m_run(input);
            for (auto round = 0; round < rounds; ++round) {
                target.m_run(spoil(input, random));
            }
        }
    }
}

TEST_CASE("what callers and backend servers send comes through the bus and the journal, also if it is not UTF-8") {
    const std::string raw{"\xff\xfe\0 text", 8U};
    rhubarbwharf::wire::Envelope message{};
    auto& dispatch = *message.mutable_dispatch();
    dispatch.set_target(raw);
    dispatch.set_idempotency_key(raw);
    auto& field = *dispatch.add_headers();
    field.set_name(raw);
    field.set_value(raw);
    rhubarbwharf::wire::Envelope read{};
    REQUIRE(read.ParseFromString(message.SerializeAsString()));
    CHECK(read.dispatch().headers(0).value() == raw);
    rhubarbwharf::wire::JournalSegment segment{};
    segment.add_records()->set_content_type(raw);
    rhubarbwharf::wire::JournalSegment again{};
    REQUIRE(again.ParseFromString(segment.SerializeAsString()));
    CHECK(again.records(0).content_type() == raw);
}
