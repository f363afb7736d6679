#include <iostream>

#include <cxxopts.hpp>

#include <rhubarbwharf/net/loop.hpp>
#include <standin-site/site.hpp>

namespace rhubarbwharf::standin_site::internal {

constexpr auto exit_usage = 2;
constexpr auto exit_violations = 1;

/*! @brief Prints one address a line: what it is, its name, and where it listens. */
auto print_addresses(site& place) -> void {
    std::cout << "store - " << net::to_string(place.store_address()) << '\n';
    place.run_in_loop([](site& self) {
        for (std::size_t index = 0U; index < self.servers().size(); ++index) {
            const auto is_runner = index < self.options().m_runner_count;
            std::cout << (is_runner ? "runner " : "ledger ") << index << ' '
                      << net::to_string(self.servers()[index]->address()) << '\n';
        }
    });
    std::cout << "ready" << std::endl;
}

[[nodiscard]] auto run(const site_options& options) -> int {
    site place{options};
    net::loop owner{};
    std::uint64_t version{1U};
    owner.on_reload_signal([&place, &version] {
        ++version;
        place.run_in_loop([version](site& self) { self.set_weights_version(version); });
        std::cout << "weights " << version << std::endl;
    });
    owner.on_stop_signal([&owner](int) { owner.stop(); });
    print_addresses(place);
    owner.run();
    std::vector<std::string> broken{};
    place.run_in_loop([&broken](site& self) { broken = self.observations().m_violations.m_lines; });
    std::cout << "violations " << broken.size() << '\n';
    for (const auto& each : broken) {
        std::cout << each << '\n';
    }
    return broken.empty() ? 0 : exit_violations;
}

} // namespace rhubarbwharf::standin_site::internal

auto main(int count, char** words) -> int {
    using namespace rhubarbwharf::standin_site;
    try {
        cxxopts::Options command{"rhubarbwharf-standin-site",
                                 "Stands in for the users' platform: store, origin, model runners and ledgers. "
                                 "SIGHUP names the next version of the weights."};
        auto add = command.add_options();
        add("runners", "model runners", cxxopts::value<std::size_t>()->default_value("3"));
        add("ledgers", "plain servers", cxxopts::value<std::size_t>()->default_value("2"));
        add("help", "print this page");
        add("version", "print the version");
        const auto given = command.parse(count, words);
        if (given.count("help") > 0) {
            std::cout << command.help();
            return 0;
        }
        if (given.count("version") > 0) {
            std::cout << RHUBARBWHARF_VERSION << '\n';
            return 0;
        }
        site_options options{};
        options.m_runner_count = given["runners"].as<std::size_t>();
        options.m_ledger_count = given["ledgers"].as<std::size_t>();
        return internal::run(options);
    } catch (const std::exception& failure) {
        std::cerr << "rhubarbwharf-standin-site: " << failure.what() << '\n';
        return internal::exit_usage;
    }
}
