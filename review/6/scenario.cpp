// Staged pieces turn bad at a slow runner while they are read back before a load.
#include "../site-2.hpp"

using namespace review;

namespace {

constexpr std::size_t gateway_count = 2U;
constexpr std::size_t runner_count = 3U;
// Pieces of a version on the site.
constexpr unsigned piece_count = 48U;
// Time to read a staged piece at the slow runner, and at the others.
constexpr int slow_read_ms = 100;
constexpr int read_ms = 25;
// The pieces turn bad this long after both were read, once all pieces have been read back this often without a pause,
// from the last one to the first. The site has 6 in 100 pieces turn bad at once.
constexpr int rounds_before = 3;
constexpr int spoil_after_ms = 200;
const std::vector<std::size_t> spoilt_pieces{47U, 46U};
constexpr double watched_s = 50.0;

} // namespace

auto main(int argc, char** argv) -> int {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const folder files{};
    pieces = piece_count;
    store registry{};
    origin weights{};
    observations seen{};
    registry.put("op/config", configuration(7U, weights.port()));
    std::vector<std::unique_ptr<server>> runners{};
    for (std::size_t index = 0U; index < runner_count; ++index) {
        server_options options{};
        options.m_service = "llm";
        options.m_slots = 16U;
        options.m_has_model = true;
        runners.push_back(
            std::make_unique<server>(registry, record, seen, options, "llm" + std::to_string(index + 1U)));
        runners.back()->m_stage_read_ms = index == 0U ? slow_read_ms : read_ms;
    }
    auto& slow = *runners.front();
    std::mutex mutex{};
    std::size_t last_read{};
    std::size_t in_round{};
    int rounds{};
    slow.m_on_stage_read = [&](const std::size_t index) {
        const std::lock_guard lock{mutex};
        const auto goes_on = in_round > 0U && index + 1U == last_read;
        in_round = goes_on ? in_round + 1U : index == piece_count - 1U ? 1U : 0U;
        last_read = index;
        if (in_round == piece_count) {
            record.write("round %d of read-backs is complete at the slow runner", ++rounds);
        }
        if (in_round == spoilt_pieces.size() && rounds == rounds_before && has_trouble()) {
            std::thread{[&slow] {
                sleep_ms(spoil_after_ms);
                slow.spoil(spoilt_pieces);
            }}.detach();
        }
    };
    std::vector<gateway> gateways(gateway_count);
    if (!start_gateways(gateways, files, registry.port())) {
        record.write("the gateways don't become ready");
        end_scenario(gateways, files, exit_cannot_run);
    }
    std::vector<std::unique_ptr<process>> loaders{};
    for (std::size_t index = 0U; index < runner_count; ++index) {
        const auto name = "side-ost-a-" + std::to_string(index + 1U);
        write_loader_settings(files.file(name + ".json"), name, "llm", runners[index]->port(), gateways,
                              registry.port());
        loaders.push_back(std::make_unique<process>(files.file(name + ".json"), files.file(name + ".log")));
    }
    sleep_ms(5'000);

    const auto named_at = clock::now();
    registry.put(std::string{"op/version/"} + model, json::serialize(json::object{{"model", model}, {"version", 2}}));
    record.write("version 2 is named");
    std::size_t whole{};
    std::size_t others{};
    for (int number = 0; clock::now() < named_at + std::chrono::duration<double>(watched_s); ++number) {
        const auto attempt = "s" + std::to_string(number);
        const auto got = exchange_with(gateways[static_cast<std::size_t>(number) % gateway_count].m_callers,
                                       request_text("POST", "/stream/x", attempt, "question " + attempt, 6'000,
                                                    prompt_headers("c0ffee", std::to_string(number + 1))),
                                       6'500);
        const auto is_whole = got.m_status == 200 && got.m_is_complete;
        (is_whole ? whole : others) += 1U;
        record.write("attempt %s is answered %d, %s, version %s", attempt.c_str(), got.m_status,
                     is_whole ? "whole" : "not whole", got.m_message.header("Rhubarbwharf-Weight-Versions").c_str());
        sleep_ms(20);
    }
    const auto spoilt = slow.spoilt_streams();
    const auto is_broken = spoilt > 0U;
    record.write("streams made with a layer whose piece had been bad for over 3 s when it was taken: %u; callers got "
                 "%zu whole answers, %zu others",
                 spoilt, whole, others);
    record.write(is_broken ? "WHOLE is broken" : "the rule held");
    std::printf("streams made with a bad layer: %u; %zu whole answers, %zu others: %s\n", spoilt, whole, others,
                is_broken ? "broken" : "held");
    const auto is_loaded = slow.serves();
    loaders.clear();
    end_scenario(gateways, files, is_broken ? exit_broken : is_loaded ? exit_held : exit_cannot_run);
}
