#include <algorithm>

#include <boost/beast/core/buffers_to_string.hpp>

#include <rhubarbwharf/net/held_bytes.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include "net/client.hpp"

namespace rhubarbwharf::net {

namespace internal {

constexpr auto sweep_period = std::chrono::milliseconds{20};
constexpr auto quiet_sweep_period = std::chrono::seconds{1};
constexpr std::size_t most_kept_connections = 256U;

namespace {

[[nodiscard]] auto is_sound(connection& kept) -> bool {
    char byte{};
    boost::system::error_code failure{};
    kept.m_socket.receive(asio::buffer(&byte, sizeof(byte)), tcp_socket::message_peek, failure);
    return failure == asio::error::would_block;
}

} // namespace

auto has_carried(const connection& kept, const std::uint64_t echo) noexcept -> bool {
    return echo != 0U && std::ranges::find(kept.m_echoes, echo) != kept.m_echoes.end();
}

auto note_echo(connection& used, const std::uint64_t echo) noexcept -> void {
    if (echo != 0U) {
        used.m_echoes[used.m_echo_count++ % used.m_echoes.size()] = echo;
    }
}

auto client_state::take(const endpoint& server, const time_point now, const duration most_idle,
                        const std::uint64_t echo) -> std::shared_ptr<connection> {
    const auto found = m_idle.find({server.m_address, server.m_port});
    if (found == m_idle.end()) {
        return nullptr;
    }
    auto& idle = found->second;
    for (auto index = idle.size(); index > 0U; --index) {
        const auto at = idle.begin() + static_cast<std::ptrdiff_t>(index - 1U);
        if (has_carried(**at, echo)) {
            continue;
        }
        auto kept = std::move(*at);
        idle.erase(at);
        if (now < kept->m_idle_until && now - kept->m_idle_since <= most_idle && is_sound(*kept)) {
            return kept;
        }
    }
    return nullptr;
}

auto client_state::keep(const endpoint& server, std::shared_ptr<connection> kept, const duration keep_time) -> void {
    auto& idle = m_idle[{server.m_address, server.m_port}];
    if (m_closed || idle.size() >= most_kept_connections || keep_time <= duration::zero()) {
        return;
    }
    kept->m_idle_since = steady_now();
    kept->m_idle_until = kept->m_idle_since + keep_time;
    kept->m_input.clear();
    kept->m_input.shrink_to_fit();
    idle.push_back(std::move(kept));
}

auto client_state::drop_idle(const time_point now) -> void {
    const auto is_old = [now](const std::shared_ptr<connection>& kept) {
        return now >= kept->m_idle_until || !is_sound(*kept);
    };
    for (auto& [server, idle] : m_idle) {
        std::erase_if(idle, is_old);
    }
    std::erase_if(m_idle, [](const auto& entry) { return entry.second.empty(); });
}

auto client_state::sweep() -> void {
    m_sweeping = !m_closed && !(m_calls.empty() && m_idle.empty());
    m_sweeping_calls = !m_calls.empty();
    if (!m_sweeping) {
        return;
    }
    if (m_sweeping_calls) {
        m_sweep.expires_after(sweep_period);
    } else {
        m_sweep.expires_after(quiet_sweep_period);
    }
    m_sweep.async_wait([self = shared_from_this()](const boost::system::error_code failure) {
        if (!failure && !self->m_closed) {
            self->check(steady_now());
            self->sweep();
        }
    });
}

auto client_state::check(const time_point now) -> void {
    const std::vector<std::shared_ptr<client_call>> calls{m_calls.begin(), m_calls.end()};
    for (const auto& each : calls) {
        each->check(now);
    }
    if (now >= m_next_drop) {
        m_next_drop = now + quiet_sweep_period;
        drop_idle(now);
    }
}

auto client_state::start(const std::shared_ptr<client_call>& made, http_request request) -> void {
    m_calls.insert(made);
    made->start(std::move(request));
}

auto client_state::limit_collected() -> void {
    if (m_collected_bytes <= max_held_bytes) {
        return;
    }
    const std::vector<std::shared_ptr<client_call>> calls{m_calls.begin(), m_calls.end()};
    std::vector<std::string> servers{};
    servers.reserve(calls.size());
    std::vector<held_response> held{};
    held.reserve(calls.size());
    for (const auto& each : calls) {
        held.push_back({servers.emplace_back(to_string(each->server())), each->collected_bytes()});
    }
    if (const auto excess = find_excess(held, max_held_bytes)) {
        calls[*excess]->end_for_held_bytes();
    }
}

} // namespace internal

namespace {

/*! @brief Joins the parts of a response. One that did not come whole has the status 0; of one that is too large no body
 * is left, as joining it would take its memory once more. */
[[nodiscard]] auto take_response(internal::collected_response& from, const code ended) -> http_response {
    auto out = std::move(from.m_head);
    out.m_status = ended == code::ok ? out.m_status : std::uint16_t{0};
    if (ended != code::too_large) {
        out.m_body = internal::beast::buffers_to_string(from.m_body.data());
    }
    from.m_body = {};
    return out;
}

} // namespace

struct http_client::state : internal::client_state {
    using client_state::client_state;
};

http_client::http_client(loop& owner) : m_state{std::make_shared<state>(owner)} {}

http_client::~http_client() {
    m_state->m_closed = true;
    m_state->m_sweep.cancel();
    const auto calls = std::move(m_state->m_calls);
    m_state->m_calls.clear();
    for (const auto& each : calls) {
        each->drop();
    }
    m_state->m_idle.clear();
}

auto http_client::send(const endpoint& server, http_request request, const call_limits& limits, call_handlers handlers)
    -> std::shared_ptr<call> {
    auto made = std::make_shared<internal::client_call>(m_state, server, limits, std::move(handlers));
    m_state->start(made, std::move(request));
    return made;
}

auto http_client::fetch(const endpoint& server, http_request request, const call_limits& limits, fetched done)
    -> std::shared_ptr<call> {
    auto bounded = limits;
    bounded.m_body_bytes = limits.m_body_bytes.value_or(max_held_bytes);
    auto into = std::make_shared<internal::collected_response>();
    call_handlers handlers{};
    handlers.m_on_end = [into, done = std::move(done)](const call_end& end) {
        done(end, take_response(*into, end.m_code));
    };
    auto made = std::make_shared<internal::client_call>(m_state, server, bounded, std::move(handlers));
    made->collect(into);
    m_state->start(made, std::move(request));
    return made;
}

} // namespace rhubarbwharf::net
