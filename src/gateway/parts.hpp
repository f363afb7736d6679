#pragma once

#include <string_view>
#include <vector>

#include <gateway/daemon.hpp>

namespace rhubarbwharf::gateway {

/*! @brief Deliveries of events after which a backend server has begun its answer without ending. */
inline constexpr unsigned begun_deliveries = 2U;

/*! @brief Returns the parts of a prompt that other requests may share: all but the last.
 * @param header Value of the header with the parts. */
[[nodiscard]] auto shared_parts(std::string_view model, std::string_view header) -> std::vector<routing::part_id>;

/*! @brief Records that the connection of an attempt broke after the request had been sent: its backend server may have
 * ended, under any request there that had not begun its answer. */
auto on_server_crash(daemon& self, const std::shared_ptr<dispatch::server_load>& backend) -> void;

} // namespace rhubarbwharf::gateway
