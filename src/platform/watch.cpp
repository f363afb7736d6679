#include <set>

#include "platform/service.hpp"
#include "platform/wire.hpp"

namespace rhubarbwharf::platform::internal {

constexpr std::uint16_t status_ok = 200U;
constexpr std::size_t most_line_bytes = std::size_t{16} * 1024U * 1024U;
constexpr duration watch_time = std::chrono::hours{1};

namespace {

/*! @brief One watch; kept alive by its calls and timers, which end with the client. */
class watch_session : public std::enable_shared_from_this<watch_session> {
public:
    watch_session(std::shared_ptr<service> owner, std::string key, const bool is_prefix, client::changed handler)
        : m_owner{std::move(owner)}, m_key{std::move(key)},
          m_is_prefix{is_prefix}, m_handler{std::move(handler)}, m_number{++m_owner->m_watches_started} {}

    auto read() -> void {
        m_owner->call(kind::read, m_owner->m_settings.m_call_time, "/v3/kv/range", range_body(m_key, m_is_prefix),
                      [self = shared_from_this()](const reply& answer) { self->on_read(answer); });
    }

private:
    auto on_read(const reply& answer) -> void {
        const auto range =
            answer.m_code == code::ok && answer.m_status == status_ok ? parse_range(answer.m_body) : std::nullopt;
        if (!range) {
            retry();
            return;
        }
        tell_standing(*range);
        listen(range->m_revision + 1U);
    }

    auto tell_standing(const range_reply& range) -> void {
        auto gone = m_is_prefix ? std::move(m_known) : std::set<std::string>{m_key};
        m_known.clear();
        for (const auto& each : range.m_keys) {
            gone.erase(each.m_key);
            m_known.insert(each.m_key);
        }
        for (const auto& each : range.m_keys) {
            m_handler(each);
        }
        for (const auto& each : gone) {
            m_handler({each, {}, 0U, 0});
        }
    }

    auto listen(const revision from) -> void {
        ++m_owner->m_counts.m_watches;
        m_line.clear();
        const net::call_limits limits{watch_time, watch_time, m_owner->m_settings.m_call_time};
        net::http_request request{
            "POST", "/v3/watch", {{"Content-Type", "application/json"}}, watch_body(m_key, m_is_prefix, from), {}};
        const auto self = shared_from_this();
        net::call_handlers handlers{};
        handlers.m_on_part = [self](const std::string_view part) {
            self->on_part(part);
        };
        handlers.m_on_end = [self](const net::call_end&) {
            self->on_end();
        };
        m_owner->m_watch_calls[m_number] =
            m_owner->m_http.send(m_owner->server(), std::move(request), limits, std::move(handlers));
    }

    auto on_part(const std::string_view part) -> void {
        m_line.append(part);
        auto sound = m_line.size() <= most_line_bytes;
        std::size_t taken{};
        for (auto end = m_line.find('\n'); sound && end != std::string::npos; end = m_line.find('\n', taken)) {
            sound = on_line(std::string_view{m_line}.substr(taken, end - taken));
            taken = end + 1U;
        }
        m_line.erase(0U, taken);
        if (!sound) {
            cut();
        }
    }

    auto cut() -> void {
        if (const auto running = m_owner->m_watch_calls.find(m_number); running != m_owner->m_watch_calls.end()) {
            running->second->cancel();
        }
    }

    [[nodiscard]] auto on_line(const std::string_view line) -> bool {
        const auto heard = parse_watch(line);
        if (!heard || heard->m_cancelled) {
            return false;
        }
        m_failures = 0U;
        m_owner->m_last_answer = steady_now();
        for (const auto& each : heard->m_changes) {
            if (each.m_modified == 0U) {
                m_known.erase(each.m_key);
            } else {
                m_known.insert(each.m_key);
            }
            m_handler(each);
        }
        return true;
    }

    auto on_end() -> void {
        if (!m_owner->m_closed) {
            m_owner->m_watch_calls.erase(m_number);
            ++m_owner->m_counts.m_failures;
            m_owner->rotate();
            retry();
        }
    }

    auto retry() -> void {
        ++m_failures;
        m_owner->after(backoff(m_failures, m_owner->m_random()), [self = shared_from_this()] { self->read(); });
    }

    std::shared_ptr<service> m_owner;
    std::string m_key{};
    bool m_is_prefix{};
    client::changed m_handler{};
    std::size_t m_number{};
    std::set<std::string> m_known{};
    std::string m_line{};
    unsigned m_failures{};
};

} // namespace

auto start_watch(std::shared_ptr<service> owner, std::string key, const bool is_prefix, client::changed handler)
    -> void {
    std::make_shared<watch_session>(std::move(owner), std::move(key), is_prefix, std::move(handler))->read();
}

} // namespace rhubarbwharf::platform::internal
