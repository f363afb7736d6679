#include <agent/daemon.hpp>

#include <rhubarbwharf/agent/run.hpp>
#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::agent {

auto run(const config::settings& settings) -> int {
    daemon self{settings};
    if (const auto outcome = start(self); outcome != code::ok) {
        net::log(net::level::error, "agent", "failed to open a listener");
        return 1;
    }
    net::log(net::level::info, "agent", "started");
    self.m_loop.run();
    return self.m_exit_status;
}

} // namespace rhubarbwharf::agent
