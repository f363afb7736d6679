#include <ostream>

#include <rhubarbwharf/load/run.hpp>

#include "load/measure.hpp"
#include "load/options.hpp"

namespace rhubarbwharf::load {

auto run(const std::span<const char* const> arguments, std::ostream& out, std::ostream& errors) -> status {
    const auto parsed = parse_options(arguments, out, errors);
    if (const auto* const exit_status = std::get_if<status>(&parsed)) {
        return *exit_status;
    }
    const auto& config = std::get<settings>(parsed);
    auto exit_status = status::done;
    if (config.m_mode == mode::net) {
        exit_status = run_net(config, out);
    } else if (config.m_mode == mode::overhead) {
        exit_status = run_overhead(config, out);
    } else {
        exit_status = run_open_loop(config, out);
    }
    if (exit_status == status::unreachable) {
        errors << "rhubarbwharf-load: no target answered\n";
    }
    return exit_status;
}

} // namespace rhubarbwharf::load
