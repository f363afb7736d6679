#pragma once

#include <cstdint>

/**
 * @brief Copies model weights to bursts of instances, steers callers' requests and puts tickets into force.
 */
namespace rhubarbwharf {

template <typename Tag, typename Value>
class basic_id;

struct digest;
struct error;
enum class code : std::uint16_t;

} // namespace rhubarbwharf
