// The store loses the answers of the watches that wait for the operator's keys once; a later configuration follows.
#include <array>

#include "../site-2.hpp"

using namespace review;

namespace {

constexpr std::array<const char*, 3> regions{"ost", "west", "sued"};
constexpr std::size_t gateway_count = 6U;
constexpr std::size_t server_count = 3U;
// The rule: `config-apply-ms`, counted from the ack of the store.
constexpr double config_apply_s = 2.0;
// Time from the lost answers to the next configuration; `stable-window-ms` is 3 s.
constexpr int calm_ms = 5'000;
constexpr double watched_s = 25.0;

} // namespace

auto main(int argc, char** argv) -> int {
    recorder record{argc > 1 ? argv[1] : "record.txt"};
    const folder files{};
    store registry{};
    origin weights{};
    observations seen{};
    configuration_options options{};
    registry.put("op/config", configuration(7U, weights.port(), options));
    server_options plain{};
    plain.m_service = "ledger";
    plain.m_slots = 6U;
    std::vector<std::unique_ptr<server>> servers{};
    for (std::size_t index = 0U; index < server_count; ++index) {
        plain.m_zone = std::string{regions[index]} + "-a";
        servers.push_back(
            std::make_unique<server>(registry, record, seen, plain, "ledger" + std::to_string(index + 1U)));
    }
    std::vector<gateway> gateways(gateway_count);
    for (std::size_t index = 0U; index < gateway_count; ++index) {
        gateways[index].m_region = regions[index % regions.size()];
    }
    if (!start_gateways(gateways, files, registry.port())) {
        record.write("the gateways don't become ready");
        end_scenario(gateways, files, exit_cannot_run);
    }
    sleep_ms(6'000);

    if (has_trouble()) {
        const auto lost = registry.lose_watch_answers("op/");
        record.write("the store loses the answers of the %u watches that wait for op/", lost);
    }
    options.m_book_timeout_ms = 900;
    registry.put("op/config", configuration(8U, weights.port(), options));
    record.write("version 8 is acknowledged: another timeout of a route");
    sleep_ms(calm_ms);

    options.m_has_new_route = true;
    options.m_has_key_b = false;
    registry.put("op/config", configuration(11U, weights.port(), options));
    const auto acknowledged_at = record.now_s();
    record.write("version 11 is acknowledged: route /new/ is there, key-b is taken away");
    std::size_t stale{};
    std::size_t fresh{};
    double last_stale{};
    for (int number = 0; record.now_s() < acknowledged_at + watched_s; ++number) {
        const auto& to = gateways[static_cast<std::size_t>(number) % gateway_count];
        const auto sent_at = record.now_s() - acknowledged_at;
        const auto is_due = sent_at > config_apply_s;
        const auto revoked = "k" + std::to_string(number);
        const auto added = "n" + std::to_string(number);
        const auto got_revoked =
            exchange_with(to.m_callers, request_text("GET", "/look/x", revoked, "", 1'000, {}, "key-b"), 1'500);
        const auto got_added = exchange_with(to.m_callers, request_text("GET", "/new/x", added, "", 1'000), 1'500);
        record.write("%.3f s after the ack %s answers %d with the revoked key, %d on the new route", sent_at,
                     to.m_name.c_str(), got_revoked.m_status, got_added.m_status);
        if (is_due) {
            const auto found = (got_revoked.m_status == 200 ? 1U : 0U) + (got_added.m_status == 404 ? 1U : 0U);
            stale += found;
            fresh += (got_revoked.m_status == 401 ? 1U : 0U) + (got_added.m_status == 200 ? 1U : 0U);
            last_stale = found > 0U ? sent_at : last_stale;
        }
        sleep_ms(250);
    }
    const auto is_broken = stale > 0U;
    record.write(
        "sent later than 2 s after the ack: %zu handled as only an older version allows, the last %.1f s after "
        "the ack; %zu handled by the new one",
        stale, last_stale, fresh);
    record.write(is_broken ? "CONFIG is broken" : "the rule held");
    std::printf("stale %zu, the last %.1f s after the ack; by the new version %zu: %s\n", stale, last_stale, fresh,
                is_broken ? "broken" : "held");
    end_scenario(gateways, files, is_broken ? exit_broken : fresh > 0U ? exit_held : exit_cannot_run);
}
