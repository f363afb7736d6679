#pragma once

#include <functional>
#include <memory>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/fwd.hpp>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace rhubarbwharf::net {

/*! @brief The one thread on which all decisions and sessions of a process run, with workers for slow sums. */
class loop {
public:
    /*! @brief Makes a loop with one worker thread. */
    loop();
    ~loop();

    loop(const loop&) = delete;
    loop(loop&&) = delete;
    auto operator=(const loop&) -> loop& = delete;
    auto operator=(loop&&) -> loop& = delete;

    /*! @brief Runs until `stop`. */
    auto run() -> void;

    /*! @brief Ends `run`; may be called from any thread. */
    auto stop() -> void;

    /**
     * @brief Runs a task on the loop's thread, after the current one.
     * @param task The task; may be posted from any thread.
     */
    auto post(std::function<void()> task) -> void;

    /**
     * @brief Runs a task once, later.
     * @param delay Time to wait.
     * @param task The task.
     */
    auto after(duration delay, std::function<void()> task) -> void;

    /**
     * @brief Runs a task again and again until the loop stops.
     * @param period Time between starts.
     * @param task The task.
     */
    auto every(duration period, std::function<void()> task) -> void;

    /**
     * @brief Runs a slow sum on the worker thread, then its completion on the loop's thread.
     * @param work The sum; touches nothing that the loop's thread owns.
     * @param done The completion.
     */
    auto offload(std::function<void()> work, std::function<void()> done) -> void;

    /**
     * @brief Calls a handler on each SIGTERM and SIGINT.
     * @param handler Gets how many such signals have come so far, from 1.
     */
    auto on_stop_signal(std::function<void(int)> handler) -> void;

    /*! @brief Calls a handler on each SIGHUP. @param handler The handler. */
    auto on_reload_signal(std::function<void()> handler) -> void;

    /*! @brief Sets the log of the process, which registers itself. @param log The log, or null. */
    auto set_event_log(event_log* log) noexcept -> void;

    /*! @brief Returns the log of the process. @return The log, or null. */
    [[nodiscard]] auto find_event_log() const noexcept -> event_log*;

    /*! @brief Returns the Asio context, for the sources of this module. @return The context. */
    [[nodiscard]] auto context() noexcept -> boost::asio::io_context&;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace rhubarbwharf::net
