#include <cstdlib>
#include <iostream>

#include <rhubarbwharf/core/assert.hpp>

namespace rhubarbwharf {

auto ensure(const bool holds, const std::string_view invariant, const boost::source_location where) -> void {
    if (holds) {
        return;
    }
    std::cerr << where.file_name() << ':' << where.line() << ": invariant broken: " << invariant << std::endl;
    std::abort();
}

} // namespace rhubarbwharf
