#pragma once

#include <functional>
#include <string>

#include <rhubarbwharf/core/assert.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

namespace rhubarbwharf::net {

inline const std::string local_address = "127.0.0.1";

/*! @brief Endpoint on this machine. @param port The port. @return The endpoint. */
[[nodiscard]] inline auto local(const std::uint16_t port) -> endpoint {
    return {local_address, port};
}

/*! @brief Makes a server listen on a free port of this machine. @param server The server. */
inline auto ensure_listening(http_server& server) -> void {
    ensure(server.listen(local(0U)) == code::ok, "a test's server listens");
}

/**
 * @brief Runs a loop until a condition holds.
 * @param owner The loop.
 * @param holds The condition.
 * @return Whether it held before a generous limit had passed.
 */
[[nodiscard]] inline auto run_until(loop& owner, const std::function<bool()>& holds) -> bool {
    constexpr auto limit = std::chrono::seconds{60};
    constexpr auto period = std::chrono::milliseconds{1};
    const auto give_up = steady_now() + limit;
    auto held = false;
    const auto going = std::make_shared<bool>(true);
    auto look = std::make_shared<std::function<void()>>();
    *look = [&, going, again = std::weak_ptr{look}] {
        if (!*going) {
            return;
        }
        held = holds();
        if (held || steady_now() >= give_up) {
            owner.stop();
            return;
        }
        owner.after(period, *again.lock());
    };
    owner.post(*look);
    owner.run();
    *going = false;
    return held;
}

} // namespace rhubarbwharf::net
