#pragma once

#include <cstdint>

#include <rhubarbwharf/core/id.hpp>

namespace rhubarbwharf::routing {

/*! @brief Digest of a model and the id of a part of a prompt. */
using part_id = basic_id<struct part_tag, std::uint64_t>;

} // namespace rhubarbwharf::routing
