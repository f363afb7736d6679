#include <iostream>

#include <cxxopts.hpp>

#include <rhubarbwharf/net/loop.hpp>
#include <standin-site/site.hpp>

namespace rhubarbwharf::standin_site::internal {

constexpr auto exit_usage = 2;
constexpr auto exit_violations = 1;

/*! @brief Prints the kind, index and address of the store and of each server, one per line, then `ready`. */
auto print_addresses(site& platform) -> void {
    std::cout << "store - " << net::to_string(platform.store_address()) << '\n';
    platform.run_in_loop([](site& self) {
        for (std::size_t index = 0U; index < self.servers().size(); ++index) {
            const auto is_runner = index < self.options().m_runner_count;
            std::cout << (is_runner ? "runner " : "ledger ") << index << ' '
                      << net::to_string(self.servers()[index]->address()) << '\n';
        }
    });
    std::cout << "ready" << std::endl;
}

[[nodiscard]] auto run(const site_options& options) -> int {
    site platform{options};
    net::loop main_loop{};
    std::uint64_t version{1U};
    main_loop.on_reload_signal([&platform, &version] {
        ++version;
        platform.run_in_loop([version](site& self) { self.set_weights_version(version); });
        std::cout << "weights " << version << std::endl;
    });
    main_loop.on_stop_signal([&main_loop](int) { main_loop.stop(); });
    print_addresses(platform);
    main_loop.run();
    std::vector<std::string> violation_lines{};
    platform.run_in_loop(
        [&violation_lines](site& self) { violation_lines = self.observations().m_violations.m_lines; });
    std::cout << "violations " << violation_lines.size() << '\n';
    for (const auto& each : violation_lines) {
        std::cout << each << '\n';
    }
    return violation_lines.empty() ? 0 : exit_violations;
}

} // namespace rhubarbwharf::standin_site::internal

auto main(int count, char** arguments) -> int {
    using namespace rhubarbwharf::standin_site;
    try {
        cxxopts::Options command{"rhubarbwharf-standin-site",
                                 "Emulates the users' platform: store, origin, model runners and ledgers. "
                                 "SIGHUP publishes the next version of the weights."};
        auto add = command.add_options();
        add("runners", "number of model runners", cxxopts::value<std::size_t>()->default_value("3"));
        add("ledgers", "number of ledgers, which are servers without a model",
            cxxopts::value<std::size_t>()->default_value("2"));
        add("help", "print this page");
        add("version", "print the version");
        const auto parsed = command.parse(count, arguments);
        if (parsed.count("help") > 0) {
            std::cout << command.help();
            return 0;
        }
        if (parsed.count("version") > 0) {
            std::cout << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        site_options options{};
        options.m_runner_count = parsed["runners"].as<std::size_t>();
        options.m_ledger_count = parsed["ledgers"].as<std::size_t>();
        return internal::run(options);
    } catch (const std::exception& failure) {
        std::cerr << "rhubarbwharf-standin-site: " << failure.what() << '\n';
        return internal::exit_usage;
    }
}
