#include <iostream>
#include <span>

#include <rhubarbwharf/load/run.hpp>

auto main(int argc, char** argv) -> int {
    const std::span<const char* const> arguments{argv, static_cast<std::size_t>(argc)};
    return static_cast<int>(rhubarbwharf::load::run(arguments, std::cout, std::cerr));
}
