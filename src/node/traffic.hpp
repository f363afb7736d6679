#pragma once

#include <cstddef>
#include <string_view>

#include <fleet.pb.h>
#include <node/core.hpp>

namespace rhubarbwharf::node::internal {

/*! @brief Names what a frame carries, for the metrics. A state with a configuration is told apart from others. */
[[nodiscard]] auto frame_kind(const wire::fleet::Frame& frame) noexcept -> std::string_view;

/*! @brief Counts a frame that was sent, and its bytes. @param kind As `frame_kind` returns it. */
auto count_sent(core& self, std::string_view kind, std::size_t bytes) -> void;

/*! @brief Counts the values that were read from the store, and their bytes. @param prefix Prefix of the keys. */
auto count_read(core& self, std::string_view prefix, std::size_t bytes) -> void;

} // namespace rhubarbwharf::node::internal
