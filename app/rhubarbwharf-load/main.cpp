#include <iostream>
#include <span>

#include <rhubarbwharf/load/run.hpp>

auto main(int count, char** values) -> int {
    const std::span<const char* const> arguments{values, static_cast<std::size_t>(count)};
    return static_cast<int>(rhubarbwharf::load::run(arguments, std::cout, std::cerr));
}
