#include <algorithm>
#include <cmath>
#include <map>
#include <sstream>

#include <boost/json.hpp>

#include <rhubarbwharf/net/loop.hpp>

#include "load/answer.hpp"
#include "load/figures.hpp"
#include "load/measure.hpp"
#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::uint16_t status_ok = 200U;
constexpr duration grace = std::chrono::seconds{30};

/*! @brief Sums over all answers of a run. */
struct tally {
    quantiles m_first_byte{};
    quantiles m_gap{};
    quantiles m_total{};
    std::map<std::string, std::uint64_t> m_refusals{};
    std::map<std::string, std::uint64_t> m_failures{};
    /*! @brief Hash of the text by version and prompt. */
    std::map<std::string, std::uint64_t> m_texts{};
    std::map<std::string, std::uint64_t> m_versions{};
    std::uint64_t m_sent{};
    std::uint64_t m_not_sent{};
    std::uint64_t m_whole{};
    std::uint64_t m_good{};
    std::uint64_t m_cut{};
    std::uint64_t m_incomplete{};
    std::uint64_t m_mixed{};
    std::uint64_t m_wrong_version{};
    std::uint64_t m_crossed{};
    std::uint64_t m_tokens{};
};

/*! @brief One request in progress. */
struct flight {
    arrival m_arrival{};
    answer m_answer{};
    time_point m_due{};
    time_point m_last{};
};

/*! @brief Tells whether an answer to a prompt differs from an earlier one of the same version. */
[[nodiscard]] auto is_crossed(tally& sums, const flight& ended) -> bool {
    const auto& of = ended.m_arrival;
    const auto key = ended.m_answer.m_version + '/' + std::to_string(of.m_prefix) + '/' + std::to_string(of.m_variant);
    const auto [known, is_new] = sums.m_texts.emplace(key, ended.m_answer.m_text_hash);
    return !is_new && known->second != ended.m_answer.m_text_hash;
}

auto count_answer(tally& sums, const settings& wanted, const flight& ended, const code how, const time_point now)
    -> void {
    const auto& got = ended.m_answer;
    if (how != code::ok) {
        ++(got.m_status == status_ok ? sums.m_cut : sums.m_failures[std::string{describe(how).m_name}]);
        return;
    }
    if (got.m_status != status_ok) {
        const auto name = refusal(got.m_rest);
        ++sums.m_refusals[name.empty() ? "http_" + std::to_string(got.m_status) : name];
        return;
    }
    if (!got.m_whole || got.m_tokens != wanted.m_tokens) {
        ++sums.m_incomplete;
        return;
    }
    ++sums.m_whole;
    ++sums.m_versions[got.m_version];
    const auto& allowed = wanted.m_versions;
    sums.m_wrong_version += allowed.empty() || std::ranges::find(allowed, got.m_version) != allowed.end() ? 0U : 1U;
    sums.m_mixed += got.m_mixed ? 1U : 0U;
    sums.m_crossed += is_crossed(sums, ended) ? 1U : 0U;
    sums.m_good += now - ended.m_due <= wanted.m_deadline ? 1U : 0U;
    sums.m_total.add(now - ended.m_due);
}

/*! @brief Sends the arrivals and counts their answers. */
class sender {
public:
    explicit sender(settings wanted) : m_settings{std::move(wanted)} {}

    /*! @brief Runs until all answers have ended. @return Whether a target was found. */
    auto run() -> bool {
        if (m_settings.m_targets.size() == 1U) {
            ask_for_entries();
        } else {
            begin();
        }
        m_loop.run();
        return !m_settings.m_targets.empty();
    }

    [[nodiscard]] auto wanted() const noexcept -> const settings& { return m_settings; }

    tally m_sums{};
    /*! @brief Time from the first arrival's clock to the end of the last answer. */
    duration m_taken{};

private:
    auto ask_for_entries() -> void {
        const auto first = m_settings.m_targets.front();
        m_http.fetch(first, {"GET", "/v1/entries", {}, {}, {}}, {},
                     [this](const net::call_end& end, const net::http_response& response) {
                         if (end.m_code != code::ok) {
                             m_settings.m_targets.clear();
                             m_loop.stop();
                             return;
                         }
                         take_entries(response);
                         begin();
                     });
    }

    auto take_entries(const net::http_response& response) -> void {
        boost::system::error_code failure{};
        const auto body = boost::json::parse(response.m_body, failure);
        const auto* const object = failure ? nullptr : body.if_object();
        const auto* const entries = object == nullptr ? nullptr : object->if_contains("entries");
        if (entries == nullptr || !entries->is_array() || response.m_status != status_ok) {
            return;
        }
        std::vector<net::endpoint> found{};
        for (const auto& each : entries->get_array()) {
            const auto* const address = each.is_object() ? each.get_object().if_contains("address") : nullptr;
            const auto* const text = address == nullptr ? nullptr : address->if_string();
            const auto where = text == nullptr ? std::nullopt : net::parse_endpoint({text->data(), text->size()});
            if (where) {
                found.push_back(*where);
            }
        }
        if (!found.empty()) {
            m_settings.m_targets = std::move(found);
        }
    }

    auto begin() -> void {
        m_arrivals = lay_out(m_settings);
        m_started = steady_now();
        send_due();
    }

    auto send_due() -> void {
        const auto now = steady_now();
        while (m_next < m_arrivals.size() && m_started + m_arrivals[m_next].m_at <= now) {
            send(m_arrivals[m_next]);
            ++m_next;
        }
        if (m_next < m_arrivals.size()) {
            m_loop.after(m_started + m_arrivals[m_next].m_at - now, [this] { send_due(); });
        } else {
            stop_if_done();
        }
    }

    auto send(const arrival& of) -> void {
        if (m_in_progress >= m_settings.m_connections) {
            ++m_sums.m_not_sent;
            return;
        }
        ++m_in_progress;
        ++m_sums.m_sent;
        const auto made = std::make_shared<flight>();
        made->m_arrival = of;
        made->m_due = m_started + of.m_at;
        net::call_handlers handlers{};
        handlers.m_on_head = [made](const net::http_response& head) {
            made->m_answer.m_status = head.m_status;
        };
        handlers.m_on_part = [this, made](const std::string_view part) {
            on_part(*made, part);
        };
        handlers.m_on_end = [this, made](const net::call_end& end) {
            on_end(*made, end);
        };
        net::call_limits limits{};
        limits.m_total_time = m_settings.m_deadline + grace;
        limits.m_idle_time = limits.m_total_time;
        m_http.send(m_settings.m_targets[of.m_target], make_request(m_settings, of), limits, std::move(handlers));
    }

    auto on_part(flight& of, const std::string_view part) -> void {
        if (of.m_answer.m_status != status_ok || !m_settings.m_stream) {
            of.m_answer.m_rest.append(part);
            return;
        }
        const auto before = of.m_answer.m_tokens;
        const auto tokens = take_events(of.m_answer, part);
        if (tokens == 0U) {
            return;
        }
        const auto now = steady_now();
        (before == 0U ? m_sums.m_first_byte : m_sums.m_gap).add(now - (before == 0U ? of.m_due : of.m_last));
        of.m_last = now;
        m_sums.m_tokens += tokens;
    }

    auto on_end(flight& of, const net::call_end& end) -> void {
        if (!m_settings.m_stream && of.m_answer.m_status == status_ok) {
            const auto body = std::exchange(of.m_answer.m_rest, {});
            take_body(of.m_answer, body);
            m_sums.m_tokens += of.m_answer.m_tokens;
        }
        count_answer(m_sums, m_settings, of, end.m_code, steady_now());
        --m_in_progress;
        stop_if_done();
    }

    auto stop_if_done() -> void {
        if (m_next == m_arrivals.size() && m_in_progress == 0U) {
            m_taken = steady_now() - m_started;
            m_loop.stop();
        }
    }

    settings m_settings{};
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::vector<arrival> m_arrivals{};
    std::size_t m_next{};
    std::size_t m_in_progress{};
    time_point m_started{};
};

[[nodiscard]] auto to_json(const std::map<std::string, std::uint64_t>& counts) -> boost::json::object {
    boost::json::object object{};
    for (const auto& [name, count] : counts) {
        object[name] = count;
    }
    return object;
}

[[nodiscard]] auto rate(const std::uint64_t count, const duration time) -> double {
    const auto seconds = std::chrono::duration<double>{std::max(time, duration{1})}.count();
    return std::round(static_cast<double>(count) / seconds * 10.0) / 10.0;
}

[[nodiscard]] auto figures_of(const tally& sums, const duration taken) -> boost::json::object {
    return {{"sent", sums.m_sent},
            {"not_sent", sums.m_not_sent},
            {"whole", sums.m_whole},
            {"good", sums.m_good},
            {"goodput_per_s", rate(sums.m_good, taken)},
            {"tokens_per_s", rate(sums.m_tokens, taken)},
            {"first_byte_ms_p50", sums.m_first_byte.at(0.5)},
            {"first_byte_ms_p95", sums.m_first_byte.at(0.95)},
            {"first_byte_ms_p99", sums.m_first_byte.at(0.99)},
            {"token_gap_ms_p50", sums.m_gap.at(0.5)},
            {"token_gap_ms_p95", sums.m_gap.at(0.95)},
            {"token_gap_ms_p99", sums.m_gap.at(0.99)},
            {"total_ms_p50", sums.m_total.at(0.5)},
            {"total_ms_p95", sums.m_total.at(0.95)},
            {"cut_streams", sums.m_cut},
            {"incomplete", sums.m_incomplete},
            {"mixed_version", sums.m_mixed},
            {"wrong_version", sums.m_wrong_version},
            {"crossed", sums.m_crossed},
            {"refusals", to_json(sums.m_refusals)},
            {"failures", to_json(sums.m_failures)},
            {"versions", to_json(sums.m_versions)}};
}

[[nodiscard]] auto case_of(const settings& wanted) -> std::string {
    std::ostringstream text{};
    text << "rate=" << wanted.m_rate << " seconds=" << std::chrono::duration<double>{wanted.m_time}.count()
         << " tokens=" << wanted.m_tokens << " stream=" << wanted.m_stream << " targets=" << wanted.m_targets.size()
         << " prefixes=" << wanted.m_prefixes << " skew=" << wanted.m_skew;
    return text.str();
}

/*! @brief Adds what each watched process used between two readings. */
auto add_usage(boost::json::object& figures, const settings& wanted, const std::vector<usage>& before,
               const tally& sums) -> void {
    for (std::size_t index = 0U; index < before.size(); ++index) {
        const auto& process = wanted.m_processes[index];
        const auto after = read_usage(process.m_id);
        const auto busy = after.m_processor_time - before[index].m_processor_time;
        figures[process.m_name] = boost::json::object{{"processor_s", std::chrono::duration<double>{busy}.count()},
                                                      {"requests_per_core_s", rate(sums.m_whole, busy)},
                                                      {"tokens_per_core_s", rate(sums.m_tokens, busy)},
                                                      {"resident_mb", after.m_resident_bytes / 1'000'000U}};
    }
}

} // namespace internal

auto run_open_loop(settings wanted, std::ostream& out) -> status {
    std::vector<usage> before{};
    for (const auto& each : wanted.m_processes) {
        before.push_back(read_usage(each.m_id));
    }
    internal::sender sending{std::move(wanted)};
    if (!sending.run()) {
        return status::unreachable;
    }
    const auto& sums = sending.m_sums;
    auto figures = internal::figures_of(sums, sending.m_taken);
    internal::add_usage(figures, sending.wanted(), before, sums);
    write_line(out, "load", internal::case_of(sending.wanted()), sending.wanted().m_seed, std::move(figures));
    const auto wrong = sums.m_incomplete + sums.m_mixed + sums.m_wrong_version + sums.m_crossed;
    return wrong == 0U ? status::done : status::wrong;
}

} // namespace rhubarbwharf::load
