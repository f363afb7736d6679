#include "traffic.hpp"

namespace rhubarbwharf::process {

traffic::traffic(site& where, std::vector<std::size_t> entries, const std::size_t callers, const std::size_t tokens)
    : m_site{where}, m_entries{std::move(entries)}, m_tokens{tokens} {
    for (std::size_t index = 0; index < callers; ++index) {
        m_threads.emplace_back([this, index] { run(index); });
    }
}

traffic::~traffic() {
    stop();
}

auto traffic::wait_for(const std::size_t more) -> bool {
    const auto wanted = m_ended + more;
    return wait_until([this, wanted] { return m_ended >= wanted; });
}

auto traffic::stop() -> tally {
    m_stopped = true;
    for (auto& thread : m_threads) {
        if (thread.joinable()) {
            thread.join();
        }
    }
    return m_tally;
}

auto traffic::run(const std::size_t caller) -> void {
    for (std::size_t number = 0; !m_stopped; ++number) {
        const auto prompt = "caller " + std::to_string(caller) + " asks " + std::to_string(number % 7U);
        const auto entry = m_entries[(caller + number) % m_entries.size()];
        const auto got = m_site.generate(entry, prompt, m_tokens).get();
        note(got, read_generated(got, prompt, m_tokens));
        ++m_ended;
    }
}

auto traffic::note(const answer& got, const generated& made) -> void {
    const std::lock_guard guard{m_mutex};
    m_tally.m_whole += made.m_whole ? 1U : 0U;
    m_tally.m_mixed += made.m_mixed ? 1U : 0U;
    m_tally.m_short += made.m_shown_complete && !made.m_whole ? 1U : 0U;
    m_tally.m_failed += made.m_shown_complete ? 0U : 1U;
    if (!made.m_whole && m_tally.m_first_failure.empty()) {
        m_tally.m_first_failure = std::to_string(got.m_response.m_status) + " " +
                                  std::string{describe(got.m_end.m_code).m_name} + " " + got.m_response.m_body;
    }
}

auto add(settlement& all, const answer& got) -> void {
    const auto said = outcome_of(got);
    const auto accepted = got.m_end.m_code == code::ok && got.m_response.m_status == 201;
    all.m_accepted += accepted ? 1U : 0U;
    all.m_not_run += said == "not_run" ? 1U : 0U;
    all.m_unknown += said == "unknown" ? 1U : 0U;
    all.m_clear = all.m_clear && (accepted || said == "not_run" || said == "unknown");
    all.m_last = std::to_string(got.m_response.m_status) + " " + std::string{describe(got.m_end.m_code).m_name} + " " +
                 got.m_response.m_body;
}

auto settle(site& where, settlement& all, const std::string_view reference) -> bool {
    std::size_t entry{};
    return wait_until([&] {
        const auto got = where.pay(entry++ % where.entries().size(), reference).get();
        add(all, got);
        const auto still_runs = got.m_response.m_body.find("\"in_progress\"") != std::string::npos;
        return got.m_response.m_status == 201 || (outcome_of(got) == "unknown" && !still_runs);
    });
}

auto agrees(const settlement& all, const std::size_t runs) -> bool {
    if (runs > 1U || !all.m_clear) {
        return false;
    }
    return runs == 1U ? all.m_accepted + all.m_unknown > 0U : all.m_accepted == 0U;
}

} // namespace rhubarbwharf::process
