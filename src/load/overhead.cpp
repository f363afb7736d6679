#include <optional>

#include <rhubarbwharf/net/loop.hpp>

#include "load/answer.hpp"
#include "load/figures.hpp"
#include "load/measure.hpp"
#include "load/plan.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::size_t warm_pairs = 20U;
constexpr std::uint16_t status_ok = 200U;

[[nodiscard]] auto fault_of(const answer& got, const net::call_end& end) -> std::string {
    if (end.m_code != code::ok) {
        return std::string{describe(end.m_code).m_name};
    }
    const auto name = got.m_status == status_ok ? std::string{"incomplete"} : refusal(got.m_rest);
    return name.empty() ? "http_" + std::to_string(got.m_status) : name;
}

/*! @brief Times of one request. */
struct timing {
    duration m_first_byte{};
    duration m_total{};
    bool m_whole{};
    /*! @brief What went wrong, if the answer was not whole. */
    std::string m_fault{};
};

/*! @brief Sends pairs of requests, one after another; which of both goes first changes from pair to pair. */
class pair_sender {
public:
    explicit pair_sender(const settings& wanted) : m_settings{wanted}, m_arrivals{lay_out(wanted)} {}

    auto run() -> void {
        next();
        m_loop.run();
    }

    quantiles m_direct{};
    quantiles m_through{};
    quantiles m_added{};
    quantiles m_added_total{};
    std::uint64_t m_pairs{};
    std::uint64_t m_failures{};
    boost::json::object m_faults{};

private:
    auto next() -> void {
        if (m_index == m_arrivals.size()) {
            m_loop.stop();
            return;
        }
        const auto direct_first = m_index % 2U == 0U;
        one(direct_first, [this, direct_first](const timing& first) {
            one(!direct_first, [this, direct_first, first](const timing& second) {
                take(direct_first ? first : second, direct_first ? second : first);
                ++m_index;
                next();
            });
        });
    }

    auto take(const timing& direct, const timing& through) -> void {
        if (!direct.m_whole || !through.m_whole) {
            ++m_failures;
            const auto fault = direct.m_whole ? "through " + through.m_fault : "direct " + direct.m_fault;
            auto& count = m_faults[fault];
            count = count.is_null() ? std::int64_t{1} : count.get_int64() + 1;
            return;
        }
        if (m_index < warm_pairs) {
            return;
        }
        ++m_pairs;
        m_direct.add(direct.m_first_byte);
        m_through.add(through.m_first_byte);
        m_added.add(through.m_first_byte - direct.m_first_byte);
        m_added_total.add(through.m_total - direct.m_total);
    }

    auto one(const bool direct, std::function<void(const timing&)> done) -> void {
        struct state {
            answer m_answer{};
            timing m_timing{};
        };

        const auto of = m_arrivals[m_index];
        const auto made = std::make_shared<state>();
        const auto sent = steady_now();
        net::call_handlers handlers{};
        handlers.m_on_head = [made](const net::http_response& head) {
            made->m_answer.m_status = head.m_status;
        };
        handlers.m_on_part = [made, sent](const std::string_view part) {
            if (made->m_answer.m_status != status_ok) {
                made->m_answer.m_rest.append(part);
            } else if (take_events(made->m_answer, part) > 0U && made->m_timing.m_first_byte == duration::zero()) {
                made->m_timing.m_first_byte = steady_now() - sent;
            }
        };
        handlers.m_on_end = [this, made, sent, done = std::move(done)](const net::call_end& end) {
            made->m_timing.m_total = steady_now() - sent;
            made->m_timing.m_whole =
                end.m_code == code::ok && made->m_answer.m_whole && made->m_answer.m_tokens == m_settings.m_tokens;
            if (!made->m_timing.m_whole) {
                made->m_timing.m_fault = fault_of(made->m_answer, end);
            }
            done(made->m_timing);
        };
        const auto& server = direct ? *m_settings.m_engine : m_settings.m_targets[of.m_target];
        m_http.send(server, make_request(m_settings, of), {}, std::move(handlers));
    }

    settings m_settings{};
    std::vector<arrival> m_arrivals{};
    net::loop m_loop{};
    net::http_client m_http{m_loop};
    std::size_t m_index{};
};

} // namespace internal

auto run_overhead(const settings& wanted, std::ostream& out) -> status {
    auto streamed = wanted;
    streamed.m_stream = true;
    internal::pair_sender sending{streamed};
    sending.run();
    const boost::json::object figures{{"pairs", sending.m_pairs},
                                      {"failures", sending.m_failures},
                                      {"faults", sending.m_faults},
                                      {"direct_first_byte_ms_p50", sending.m_direct.at(0.5)},
                                      {"direct_first_byte_ms_p99", sending.m_direct.at(0.99)},
                                      {"through_first_byte_ms_p50", sending.m_through.at(0.5)},
                                      {"through_first_byte_ms_p99", sending.m_through.at(0.99)},
                                      {"added_first_byte_ms_p50", sending.m_added.at(0.5)},
                                      {"added_first_byte_ms_p99", sending.m_added.at(0.99)},
                                      {"added_total_ms_p50", sending.m_added_total.at(0.5)},
                                      {"added_total_ms_p99", sending.m_added_total.at(0.99)}};
    write_line(out, "overhead", "tokens=" + std::to_string(wanted.m_tokens), wanted.m_seed, figures);
    return sending.m_pairs > 0U ? status::done : status::unreachable;
}

} // namespace rhubarbwharf::load
