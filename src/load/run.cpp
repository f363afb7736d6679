#include <ostream>

#include <rhubarbwharf/load/run.hpp>

#include "load/measure.hpp"
#include "load/options.hpp"

namespace rhubarbwharf::load {

auto run(const std::span<const char* const> arguments, std::ostream& out, std::ostream& faults) -> status {
    const auto read = read_options(arguments, out, faults);
    if (const auto* const ended = std::get_if<status>(&read)) {
        return *ended;
    }
    const auto& wanted = std::get<settings>(read);
    auto ended = status::done;
    if (wanted.m_mode == mode::net) {
        ended = run_net(wanted, out);
    } else if (wanted.m_mode == mode::overhead) {
        ended = run_overhead(wanted, out);
    } else {
        ended = run_open_loop(wanted, out);
    }
    if (ended == status::unreachable) {
        faults << "rhubarbwharf-load: no target answers\n";
    }
    return ended;
}

} // namespace rhubarbwharf::load
