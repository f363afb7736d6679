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

constexpr std::size_t payload_bytes = 220U;
constexpr std::size_t message_bytes = 200U;
constexpr std::size_t concurrent_requests = 64U;
constexpr std::uint32_t stream_groups = 4U;
constexpr duration part_interval = std::chrono::milliseconds{5};
constexpr std::size_t stream_count = 256U;
constexpr unsigned messages_in_flight = 64U;

[[nodiscard]] auto thread_processor_time() -> duration {
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::duration_cast<duration>(std::chrono::seconds{time.tv_sec} +
                                                std::chrono::nanoseconds{time.tv_nsec});
}

[[nodiscard]] auto loopback(const std::uint16_t port) -> net::endpoint {
    return {"127.0.0.1", port};
}

/*! @brief Runs an event loop on its own thread and reports the processor time of that thread. */
class loop_thread {
public:
    loop_thread()
        : m_thread{[this] {
              m_loop.run();
          }} {}

    loop_thread(const loop_thread&) = delete;
    loop_thread(loop_thread&&) = delete;
    auto operator=(const loop_thread&) -> loop_thread& = delete;
    auto operator=(loop_thread&&) -> loop_thread& = delete;

    ~loop_thread() { stop(); }

    /*! @brief Stops and joins the thread; objects that its tasks refer to may be destroyed afterwards. */
    auto stop() -> void {
        m_loop.stop();
        if (m_thread.joinable()) {
            m_thread.join();
        }
    }

    /*! @brief Runs a task on the thread and blocks until it has returned. */
    auto run_and_wait(const std::function<void()>& task) -> void {
        std::promise<void> done{};
        m_loop.post([&] {
            task();
            done.set_value();
        });
        done.get_future().wait();
    }

    [[nodiscard]] auto processor_time() -> duration {
        duration time{};
        run_and_wait([&time] { time = thread_processor_time(); });
        return time;
    }

    net::loop m_loop{};

private:
    std::thread m_thread;
};

[[nodiscard]] auto per_core_second(const std::uint64_t count, const duration processor_time) -> double {
    return static_cast<double>(count) / std::chrono::duration<double>{processor_time}.count();
}

[[nodiscard]] auto to_seconds(const duration time) -> double {
    return std::chrono::duration<double>{time}.count();
}

/*! @brief Sends the next request as soon as one has ended, so that the number in progress stays constant. */
struct request_driver {
    net::http_client m_http;
    net::endpoint m_server{};
    std::uint64_t m_completed{};
    std::uint64_t m_failed{};

    auto send_next() -> void {
        net::http_request request{"POST", "/", {{"Authorization", "Bearer key"}}, std::string(payload_bytes, 'x'), {}};
        m_http.fetch(m_server, std::move(request), {}, [this](const net::call_end& end, const net::http_response&) {
            ++(end.m_code == code::ok ? m_completed : m_failed);
            send_next();
        });
    }
};

auto bench_requests(const settings& config, std::ostream& out) -> void {
    loop_thread server_thread{};
    loop_thread client_thread{};
    std::unique_ptr<net::http_server> server{};
    server_thread.run_and_wait([&] {
        server = std::make_unique<net::http_server>(
            server_thread.m_loop, net::http_limits{},
            [](net::http_request request, const std::shared_ptr<net::responder>& responder) {
                responder->respond({200U, {{"Content-Type", "text/plain"}}, std::move(request.m_body)});
            });
        ensure(server->listen(loopback(0U)) == code::ok, "the bench's server is listening");
    });
    std::unique_ptr<request_driver> driver{};
    client_thread.run_and_wait([&] {
        driver.reset(new request_driver{net::http_client{client_thread.m_loop}, loopback(server->port())});
        for (std::size_t index = 0U; index < concurrent_requests; ++index) {
            driver->send_next();
        }
    });
    const auto server_time_before = server_thread.processor_time();
    const auto client_time_before = client_thread.processor_time();
    std::this_thread::sleep_for(config.m_run_time);
    std::uint64_t completed{};
    std::uint64_t failed{};
    const auto server_time = server_thread.processor_time() - server_time_before;
    const auto client_time = client_thread.processor_time() - client_time_before;
    client_thread.run_and_wait([&] {
        completed = driver->m_completed;
        failed = driver->m_failed;
        driver.reset();
    });
    server_thread.run_and_wait([&] { server.reset(); });
    write_figures(out, "net", "what=requests callers=" + std::to_string(concurrent_requests), config.m_seed,
                  {{"requests", completed},
                   {"failures", failed},
                   {"requests_per_s", static_cast<double>(completed) / to_seconds(config.m_run_time)},
                   {"server_requests_per_core_s", per_core_second(completed, server_time)},
                   {"client_requests_per_core_s", per_core_second(completed, client_time)}});
}

/**
 * @brief Server that streams parts without end.
 *
 * Writes are staggered: the streams are split into groups, and each tick writes to one group.
 */
struct part_source {
    net::loop& m_loop;
    std::vector<std::shared_ptr<net::responder>> m_responders{};
    std::string m_part{};
    std::unique_ptr<net::http_server> m_server{};

    auto start() -> void {
        m_part = "data: " + std::string(payload_bytes, 'x') + "\n\n";
        m_server = std::make_unique<net::http_server>(
            m_loop, net::http_limits{},
            [this](const net::http_request&, const std::shared_ptr<net::responder>& responder) {
                responder->start({200U, {{"Content-Type", "text/event-stream"}}, {}});
                m_responders.push_back(responder);
            });
        ensure(m_server->listen(loopback(0U)) == code::ok, "the bench's source is listening");
        m_loop.every(part_interval / stream_groups, [this] { write_next_group(); });
    }

    auto write_next_group() -> void {
        for (auto index = m_next_group++ % stream_groups; index < m_responders.size(); index += stream_groups) {
            m_responders[index]->write(m_part);
        }
    }

    std::size_t m_next_group{};
};

/*! @brief Streaming reverse proxy: forwards each request to the source, and the parts of the response to the client. */
struct relay {
    net::http_client m_http;
    net::endpoint m_source{};
    std::unique_ptr<net::http_server> m_server{};
    std::uint64_t m_relayed_parts{};

    auto start(net::loop& owner) -> void {
        m_server = std::make_unique<net::http_server>(
            owner, net::http_limits{},
            [this](net::http_request request, const std::shared_ptr<net::responder>& responder) {
                net::call_handlers handlers{};
                handlers.m_on_head = [responder](const net::http_response& head) {
                    responder->start(head);
                };
                handlers.m_on_part = [this, responder](const std::string_view part) {
                    ++m_relayed_parts;
                    responder->write(part);
                };
                handlers.m_on_end = [responder](const net::call_end&) {
                    responder->abort();
                };
                net::call_limits limits{};
                limits.m_total_time = std::chrono::hours{1};
                m_http.send(m_source, std::move(request), limits, std::move(handlers));
            });
        ensure(m_server->listen(loopback(0U)) == code::ok, "the bench's relay is listening");
    }
};

auto bench_parts(const settings& config, std::ostream& out) -> void {
    loop_thread source_thread{};
    loop_thread relay_thread{};
    loop_thread sink_thread{};
    part_source source{source_thread.m_loop};
    source_thread.run_and_wait([&] { source.start(); });
    std::unique_ptr<relay> streaming_relay{};
    relay_thread.run_and_wait([&] {
        streaming_relay.reset(new relay{net::http_client{relay_thread.m_loop}, loopback(source.m_server->port())});
        streaming_relay->start(relay_thread.m_loop);
    });
    std::unique_ptr<net::http_client> sink{};
    sink_thread.run_and_wait([&] {
        sink = std::make_unique<net::http_client>(sink_thread.m_loop);
        net::call_limits limits{};
        limits.m_total_time = std::chrono::hours{1};
        for (std::size_t index = 0U; index < stream_count; ++index) {
            sink->send(loopback(streaming_relay->m_server->port()), {}, limits, {});
        }
    });
    std::this_thread::sleep_for(std::chrono::seconds{1});
    std::uint64_t parts_before{};
    relay_thread.run_and_wait([&] { parts_before = streaming_relay->m_relayed_parts; });
    const auto time_before = relay_thread.processor_time();
    std::this_thread::sleep_for(config.m_run_time);
    const auto processor_time = relay_thread.processor_time() - time_before;
    std::uint64_t parts{};
    relay_thread.run_and_wait([&] { parts = streaming_relay->m_relayed_parts - parts_before; });
    sink_thread.run_and_wait([&] { sink.reset(); });
    relay_thread.run_and_wait([&] { streaming_relay.reset(); });
    source_thread.run_and_wait([&] { source.m_server.reset(); });
    source_thread.stop();
    write_figures(out, "net", "what=relayed_parts streams=" + std::to_string(stream_count), config.m_seed,
                  {{"parts", parts},
                   {"parts_per_s", static_cast<double>(parts) / to_seconds(config.m_run_time)},
                   {"relay_busy_share", to_seconds(processor_time) / to_seconds(config.m_run_time)},
                   {"parts_per_core_s", per_core_second(parts, processor_time)}});
}

auto bench_bus(const settings& config, std::ostream& out) -> void {
    loop_thread first_thread{};
    loop_thread second_thread{};
    std::unique_ptr<net::bus> first_bus{};
    std::unique_ptr<net::bus> second_bus{};
    const std::string message(message_bytes, 'x');
    std::uint64_t received{};
    second_thread.run_and_wait([&] {
        second_bus = std::make_unique<net::bus>(second_thread.m_loop, "second", net::bus_limits{},
                                                [&](const std::string_view peer, const std::string_view bytes) {
                                                    static_cast<void>(second_bus->send(peer, bytes));
                                                });
        ensure(second_bus->listen(loopback(0U)) == code::ok, "the bench's bus is listening");
    });
    first_thread.run_and_wait([&] {
        first_bus = std::make_unique<net::bus>(first_thread.m_loop, "first", net::bus_limits{},
                                               [&](const std::string_view peer, const std::string_view bytes) {
                                                   ++received;
                                                   ensure(first_bus->send(peer, bytes) == code::ok,
                                                          "the bench's message is queued");
                                               });
        first_bus->connect("second", loopback(second_bus->port()));
        for (auto index = 0U; index < messages_in_flight; ++index) {
            ensure(first_bus->send("second", message) == code::ok, "the bench's message is queued");
        }
    });
    const auto first_time_before = first_thread.processor_time();
    const auto second_time_before = second_thread.processor_time();
    std::this_thread::sleep_for(config.m_run_time);
    const auto first_time = first_thread.processor_time() - first_time_before;
    const auto second_time = second_thread.processor_time() - second_time_before;
    std::uint64_t round_trips{};
    first_thread.run_and_wait([&] {
        round_trips = received;
        first_bus.reset();
    });
    second_thread.run_and_wait([&] { second_bus.reset(); });
    write_figures(out, "net", "what=bus_round_trips in_flight=" + std::to_string(messages_in_flight), config.m_seed,
                  {{"round_trips", round_trips},
                   {"round_trips_per_s", static_cast<double>(round_trips) / to_seconds(config.m_run_time)},
                   {"first_messages_per_core_s", per_core_second(2U * round_trips, first_time)},
                   {"second_messages_per_core_s", per_core_second(2U * round_trips, second_time)}});
}

} // namespace internal

auto run_net(const settings& config, std::ostream& out) -> status {
    internal::bench_requests(config, out);
    internal::bench_parts(config, out);
    internal::bench_bus(config, out);
    return status::done;
}

} // namespace rhubarbwharf::load
