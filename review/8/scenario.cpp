// A request that crashes each runner after its first events, sent again by its caller.
#include "../site-2.hpp"

using namespace review;

namespace {

constexpr std::size_t gateway_count = 3U;
constexpr std::size_t runner_count = 8U;
// The rule: retries that may reach runners, sent later than `stable-window-ms` after the third crash.
constexpr std::size_t max_retries = 3U;
constexpr double stable_window_s = 3.0;
constexpr int sends = 24;
constexpr int send_interval_ms = 1'500;
constexpr auto crashing_body = "a question that ends the runner";

} // namespace

auto main(int argc, char** argv) -> int {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const folder files{};
    store registry{};
    origin weights{};
    observations seen{};
    registry.put("op/config", configuration(7U, weights.port()));
    registry.put(std::string{"op/version/"} + model, json::serialize(json::object{{"model", model}, {"version", 1}}));

    std::vector<std::unique_ptr<server>> runners{};
    for (std::size_t index = 0U; index < runner_count; ++index) {
        server_options options{};
        options.m_service = "llm";
        options.m_slots = 16U;
        options.m_has_model = true;
        runners.push_back(
            std::make_unique<server>(registry, record, seen, options, "llm" + std::to_string(index + 1U)));
        if (has_trouble()) {
            runners.back()->m_crash_body = crashing_body;
            runners.back()->m_crash_after_events = 2U;
        }
    }
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
    sleep_ms(4'000);

    // Other callers' streams, to show what the crashes do to them.
    std::atomic<bool> stops{false};
    std::atomic<int> whole{0};
    std::atomic<int> cut{0};
    std::atomic<int> refused{0};
    std::vector<std::thread> callers{};
    for (int caller = 0; caller < 4; ++caller) {
        callers.emplace_back([&, caller] {
            for (int number = 0; !stops; ++number) {
                const auto attempt = "n" + std::to_string(caller) + "-" + std::to_string(number);
                const auto got =
                    exchange_with(gateways[static_cast<std::size_t>(number) % gateway_count].m_callers,
                                  request_text("POST", "/stream/x", attempt, "question " + attempt, 6'000,
                                               prompt_headers("c0ffee", std::to_string(caller * 1'000 + number))),
                                  6'500);
                const auto is_whole = got.m_status == 200 && got.m_is_complete;
                (is_whole ? whole : got.m_status == 200 ? cut : refused) += 1;
                if (!is_whole) {
                    record.write("attempt %s of another caller ends with status %d, %s", attempt.c_str(), got.m_status,
                                 got.m_is_complete ? "whole" : "cut");
                }
                sleep_ms(100);
            }
        });
    }

    std::vector<std::thread> senders{};
    for (int number = 0; number < sends; ++number) {
        senders.emplace_back([&, number] {
            const auto attempt = "crash-" + std::to_string(number);
            record.write("caller sends attempt %s", attempt.c_str());
            const auto got = exchange_with(
                gateways[static_cast<std::size_t>(number) % gateway_count].m_callers,
                request_text("POST", "/stream/y", attempt, crashing_body, 6'000, prompt_headers("bad0", "bad1")),
                6'500);
            record.write("attempt %s is answered %d, %s, %zu bytes", attempt.c_str(), got.m_status,
                         got.m_is_complete ? "whole" : "cut", got.m_message.m_body.size());
        });
        sleep_ms(send_interval_ms);
    }
    for (auto& each : senders) {
        each.join();
    }
    stops = true;
    for (auto& each : callers) {
        each.join();
    }

    const std::lock_guard lock{seen.m_mutex};
    const auto crashes = seen.m_crashes.size();
    std::set<std::string> late_retries{};
    if (crashes >= 3U) {
        const auto from = seen.m_crashes[2].m_at_s + stable_window_s;
        for (const auto& each : seen.m_arrivals) {
            if (each.m_body == crashing_body && each.m_at_s > from) {
                late_retries.insert(each.m_attempt);
            }
        }
    }
    const auto is_broken = late_retries.size() > max_retries;
    record.write("crashes %zu; retries that reached runners later than 3 s after the third crash: %zu, allowed %zu",
                 crashes, late_retries.size(), max_retries);
    record.write("streams of other callers: %d whole, %d cut, %d refused or failed", whole.load(), cut.load(),
                 refused.load());
    record.write(is_broken ? "BUDGET is broken" : "the rule held");
    std::printf("crashes %zu, late retries %zu of %zu allowed; others: %d whole, %d cut, %d refused or failed: %s\n",
                crashes, late_retries.size(), max_retries, whole.load(), cut.load(), refused.load(),
                is_broken ? "broken" : "held");
    const auto is_served = has_trouble() || whole > 0;
    loaders.clear();
    end_scenario(gateways, files, is_broken ? exit_broken : is_served ? exit_held : exit_cannot_run);
}
