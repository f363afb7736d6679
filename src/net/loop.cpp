#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <csignal>

#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::net {

namespace asio = boost::asio;

namespace internal {

constexpr int one_thread = 1;

struct repeated_task {
    asio::steady_timer m_timer;
    duration m_period{};
    std::function<void()> m_task{};
};

auto arm(const std::shared_ptr<repeated_task>& repeated) -> void {
    repeated->m_timer.expires_at(repeated->m_timer.expiry() + repeated->m_period);
    repeated->m_timer.async_wait([repeated](const boost::system::error_code failure) {
        if (failure) {
            return;
        }
        repeated->m_task();
        const auto now = asio::steady_timer::clock_type::now();
        if (repeated->m_timer.expiry() + repeated->m_period < now) {
            repeated->m_timer.expires_at(now);
        }
        arm(repeated);
    });
}

} // namespace internal

struct loop::state {
    asio::io_context m_context{internal::one_thread};
    asio::executor_work_guard<asio::io_context::executor_type> m_guard{m_context.get_executor()};
    asio::signal_set m_signals{m_context};
    asio::signal_set m_reload_signals{m_context};
    std::function<void()> m_on_reload{};
    std::function<void(int)> m_on_signal{};
    int m_signal_count{};
    event_log* m_event_log{};
    asio::thread_pool m_worker{internal::one_thread};

    auto wait_for_signal() -> void {
        m_signals.async_wait([this](const boost::system::error_code failure, int) {
            if (failure) {
                return;
            }
            ++m_signal_count;
            m_on_signal(m_signal_count);
            wait_for_signal();
        });
    }

    auto wait_for_reload() -> void {
        m_reload_signals.async_wait([this](const boost::system::error_code failure, int) {
            if (failure) {
                return;
            }
            m_on_reload();
            wait_for_reload();
        });
    }
};

loop::loop() : m_state{std::make_unique<state>()} {}

loop::~loop() {
    m_state->m_worker.join();
}

auto loop::run() -> void {
    m_state->m_context.run();
    m_state->m_context.restart();
}

auto loop::stop() -> void {
    m_state->m_context.stop();
}

auto loop::post(std::function<void()> task) -> void {
    asio::post(m_state->m_context, std::move(task));
}

auto loop::after(const duration delay, std::function<void()> task) -> void {
    auto timer = std::make_shared<asio::steady_timer>(m_state->m_context, delay);
    timer->async_wait([timer, task = std::move(task)](const boost::system::error_code failure) {
        if (!failure) {
            task();
        }
    });
}

auto loop::every(const duration period, std::function<void()> task) -> void {
    auto repeated = std::make_shared<internal::repeated_task>(
        internal::repeated_task{asio::steady_timer{m_state->m_context}, period, std::move(task)});
    repeated->m_timer.expires_at(asio::steady_timer::clock_type::now());
    internal::arm(repeated);
}

auto loop::offload(std::function<void()> work, std::function<void()> done) -> void {
    asio::post(m_state->m_worker, [this, work = std::move(work), done = std::move(done)]() mutable {
        work();
        asio::post(m_state->m_context, std::move(done));
    });
}

auto loop::on_stop_signal(std::function<void(int)> handler) -> void {
    const auto first = !m_state->m_on_signal;
    m_state->m_on_signal = std::move(handler);
    if (first) {
        m_state->m_signals.add(SIGTERM);
        m_state->m_signals.add(SIGINT);
        m_state->wait_for_signal();
    }
}

auto loop::on_reload_signal(std::function<void()> handler) -> void {
    const auto first = !m_state->m_on_reload;
    m_state->m_on_reload = std::move(handler);
    if (first) {
        m_state->m_reload_signals.add(SIGHUP);
        m_state->wait_for_reload();
    }
}

auto loop::set_event_log(event_log* const log) noexcept -> void {
    m_state->m_event_log = log;
}

auto loop::find_event_log() const noexcept -> event_log* {
    return m_state->m_event_log;
}

auto loop::context() noexcept -> asio::io_context& {
    return m_state->m_context;
}

} // namespace rhubarbwharf::net
