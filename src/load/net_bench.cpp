#include <ctime>
#include <future>
#include <thread>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <rhubarbwharf/net/loop.hpp>

#include "load/figures.hpp"
#include "load/measure.hpp"

namespace rhubarbwharf::load {

namespace internal {

constexpr std::size_t part_bytes = 220U;
constexpr std::size_t message_bytes = 200U;
constexpr std::size_t callers = 64U;
constexpr std::uint32_t parts_at_once = 4U;
constexpr duration part_period = std::chrono::milliseconds{5};
constexpr std::size_t streams = 256U;
constexpr unsigned messages_in_flight = 64U;

[[nodiscard]] auto thread_time() -> duration {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::duration_cast<duration>(std::chrono::seconds{used.tv_sec} +
                                                std::chrono::nanoseconds{used.tv_nsec});
}

[[nodiscard]] auto on_this_machine(const std::uint16_t port) -> net::endpoint {
    return {"127.0.0.1", port};
}

/*! @brief A loop on a thread of its own, whose processor time can be read. */
class worker {
public:
    worker()
        : m_thread{[this] {
              m_loop.run();
          }} {}

    worker(const worker&) = delete;
    worker(worker&&) = delete;
    auto operator=(const worker&) -> worker& = delete;
    auto operator=(worker&&) -> worker& = delete;

    ~worker() { stop(); }

    /*! @brief Ends the thread, so that what its tasks refer to may go. */
    auto stop() -> void {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /*! @brief Runs a task on the thread and waits for it. @param task The task. */
    auto call(const std::function<void()>& task) -> void {
        std::promise<void> done{};
        m_loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    /*! @brief Reads the processor time of the thread. @return The time. */
    [[nodiscard]] auto used() -> duration {
        duration time{};
        call([&time] { time = thread_time(); });
        return time;
    }

    net::loop m_loop{};

private:
    std::thread m_thread;
};

[[nodiscard]] auto per_core(const std::uint64_t count, const duration used) -> double {
    return static_cast<double>(count) / std::chrono::duration<double>{used}.count();
}

[[nodiscard]] auto to_seconds(const duration time) -> double {
    return std::chrono::duration<double>{time}.count();
}

/*! @brief Keeps a set count of small requests in progress. */
struct request_driver {
    net::http_client m_http;
    net::endpoint m_server{};
    std::uint64_t m_ended{};
    std::uint64_t m_failed{};

    auto next() -> void {
        net::http_request request{"POST", "/", {{"Authorization", "Bearer key"}}, std::string(part_bytes, 'x'), {}};
        m_http.fetch(m_server, std::move(request), {}, [this](const net::call_end& end, const net::http_response&) {
            ++(end.m_code == code::ok ? m_ended : m_failed);
            next();
        });
    }
};

auto bench_requests(const settings& wanted, std::ostream& out) -> void {
    worker serving{};
    worker calling{};
    std::unique_ptr<net::http_server> server{};
    serving.call([&] {
        server = std::make_unique<net::http_server>(
            serving.m_loop, net::http_limits{},
            [](net::http_request request, const std::shared_ptr<net::responder>& to) {
                to->respond({200U, {{"Content-Type", "text/plain"}}, std::move(request.m_body)});
            });
        ensure(server->listen(on_this_machine(0U)) == code::ok, "the bench's server listens");
    });
    std::unique_ptr<request_driver> driver{};
    calling.call([&] {
        driver.reset(new request_driver{net::http_client{calling.m_loop}, on_this_machine(server->port())});
        for (std::size_t index = 0U; index < callers; ++index) {
            driver->next();
        }
    });
    const auto server_before = serving.used();
    const auto client_before = calling.used();
    std::this_thread::sleep_for(wanted.m_time);
    std::uint64_t ended{};
    std::uint64_t failed{};
    const auto server_used = serving.used() - server_before;
    const auto client_used = calling.used() - client_before;
    calling.call([&] {
        ended = driver->m_ended;
        failed = driver->m_failed;
        driver.reset();
    });
    serving.call([&] { server.reset(); });
    write_line(out, "net", "what=requests callers=" + std::to_string(callers), wanted.m_seed,
               {{"requests", ended},
                {"failures", failed},
                {"requests_per_s", static_cast<double>(ended) / to_seconds(wanted.m_time)},
                {"server_requests_per_core_s", per_core(ended, server_used)},
                {"client_requests_per_core_s", per_core(ended, client_used)}});
}

/*! @brief Server that streams parts for ever, some at a time. */
struct part_source {
    net::loop& m_loop;
    std::vector<std::shared_ptr<net::responder>> m_answers{};
    std::string m_part{};
    std::unique_ptr<net::http_server> m_server{};

    auto start() -> void {
        m_part = "data: " + std::string(part_bytes, 'x') + "\n\n";
        m_server = std::make_unique<net::http_server>(
            m_loop, net::http_limits{}, [this](const net::http_request&, const std::shared_ptr<net::responder>& to) {
                to->start({200U, {{"Content-Type", "text/event-stream"}}, {}});
                m_answers.push_back(to);
            });
        ensure(m_server->listen(on_this_machine(0U)) == code::ok, "the bench's source listens");
        m_loop.every(part_period / parts_at_once, [this] { write_quarter(); });
    }

    /*! @brief Writes one part to each stream of the next quarter. */
    auto write_quarter() -> void {
        for (auto index = m_turn++ % parts_at_once; index < m_answers.size(); index += parts_at_once) {
            m_answers[index]->write(m_part);
        }
    }

    std::size_t m_turn{};
};

/*! @brief Passes each request on and its response's parts back, as a process on the way does. */
struct relay {
    net::http_client m_http;
    net::endpoint m_source{};
    std::unique_ptr<net::http_server> m_server{};
    std::uint64_t m_parts{};

    auto start(net::loop& owner) -> void {
        m_server = std::make_unique<net::http_server>(
            owner, net::http_limits{}, [this](net::http_request request, const std::shared_ptr<net::responder>& to) {
                net::call_handlers handlers{};
                handlers.m_on_head = [to](const net::http_response& head) {
                    to->start(head);
                };
                handlers.m_on_part = [this, to](const std::string_view part) {
                    ++m_parts;
                    to->write(part);
                };
                handlers.m_on_end = [to](const net::call_end&) {
                    to->abort();
                };
                net::call_limits limits{};
                limits.m_total_time = std::chrono::hours{1};
                m_http.send(m_source, std::move(request), limits, std::move(handlers));
            });
        ensure(m_server->listen(on_this_machine(0U)) == code::ok, "the bench's relay listens");
    }
};

auto bench_parts(const settings& wanted, std::ostream& out) -> void {
    worker giving{};
    worker relaying{};
    worker taking{};
    part_source source{giving.m_loop};
    giving.call([&] { source.start(); });
    std::unique_ptr<relay> middle{};
    relaying.call([&] {
        middle.reset(new relay{net::http_client{relaying.m_loop}, on_this_machine(source.m_server->port())});
        middle->start(relaying.m_loop);
    });
    std::unique_ptr<net::http_client> sink{};
    taking.call([&] {
        sink = std::make_unique<net::http_client>(taking.m_loop);
        net::call_limits limits{};
        limits.m_total_time = std::chrono::hours{1};
        for (std::size_t index = 0U; index < streams; ++index) {
            sink->send(on_this_machine(middle->m_server->port()), {}, limits, {});
        }
    });
    std::this_thread::sleep_for(std::chrono::seconds{1});
    std::uint64_t parts_before{};
    relaying.call([&] { parts_before = middle->m_parts; });
    const auto before = relaying.used();
    std::this_thread::sleep_for(wanted.m_time);
    const auto used = relaying.used() - before;
    std::uint64_t parts{};
    relaying.call([&] { parts = middle->m_parts - parts_before; });
    taking.call([&] { sink.reset(); });
    relaying.call([&] { middle.reset(); });
    giving.call([&] { source.m_server.reset(); });
    giving.stop();
    write_line(out, "net", "what=relayed_parts streams=" + std::to_string(streams), wanted.m_seed,
               {{"parts", parts},
                {"parts_per_s", static_cast<double>(parts) / to_seconds(wanted.m_time)},
                {"relay_busy_share", to_seconds(used) / to_seconds(wanted.m_time)},
                {"parts_per_core_s", per_core(parts, used)}});
}

auto bench_bus(const settings& wanted, std::ostream& out) -> void {
    worker first{};
    worker second{};
    std::unique_ptr<net::bus> sending{};
    std::unique_ptr<net::bus> answering{};
    const std::string message(message_bytes, 'x');
    std::uint64_t answers{};
    second.call([&] {
        answering = std::make_unique<net::bus>(second.m_loop, "second", net::bus_limits{},
                                               [&](const std::string_view peer, const std::string_view bytes) {
                                                   static_cast<void>(answering->send(peer, bytes));
                                               });
        ensure(answering->listen(on_this_machine(0U)) == code::ok, "the bench's bus listens");
    });
    first.call([&] {
        sending = std::make_unique<net::bus>(
            first.m_loop, "first", net::bus_limits{}, [&](const std::string_view peer, const std::string_view bytes) {
                ++answers;
                ensure(sending->send(peer, bytes) == code::ok, "the bench's message is queued");
            });
        sending->connect("second", on_this_machine(answering->port()));
        for (auto index = 0U; index < messages_in_flight; ++index) {
            ensure(sending->send("second", message) == code::ok, "the bench's message is queued");
        }
    });
    const auto first_before = first.used();
    const auto second_before = second.used();
    std::this_thread::sleep_for(wanted.m_time);
    const auto first_used = first.used() - first_before;
    const auto second_used = second.used() - second_before;
    std::uint64_t trips{};
    first.call([&] {
        trips = answers;
        sending.reset();
    });
    second.call([&] { answering.reset(); });
    write_line(out, "net", "what=bus_round_trips in_flight=" + std::to_string(messages_in_flight), wanted.m_seed,
               {{"round_trips", trips},
                {"round_trips_per_s", static_cast<double>(trips) / to_seconds(wanted.m_time)},
                {"first_messages_per_core_s", per_core(2U * trips, first_used)},
                {"second_messages_per_core_s", per_core(2U * trips, second_used)}});
}

} // namespace internal

auto run_net(const settings& wanted, std::ostream& out) -> status {
    internal::bench_requests(wanted, out);
    internal::bench_parts(wanted, out);
    internal::bench_bus(wanted, out);
    return status::done;
}

} // namespace rhubarbwharf::load
