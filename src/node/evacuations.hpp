#pragma once

#include <string_view>
#include <vector>

#include <fleet.pb.h>
#include <node/core.hpp>

namespace rhubarbwharf::node {

/*! @brief Applies a write or the removal of the operators' key of an evacuation. */
auto on_evacuation_item(core& self, const adapter::key_value& item) -> void;

/*! @brief Ends the evacuations that a complete listing of the operators' keys lacks; after the begin of a new era only
 * once operators have had the time to write them again. */
auto on_evacuation_listing(core& self, const std::vector<adapter::key_value>& items, fleet::store_version version)
    -> void;

/*! @brief Merges the evacuations that a peer knows. @param source Sender, for the log. */
auto accept_evacuations(core& self, const google::protobuf::RepeatedPtrField<wire::fleet::Evacuation>& told,
                        std::string_view source) -> void;

/*! @brief Adds the known evacuations to a message. */
auto add_evacuations(const core& self, google::protobuf::RepeatedPtrField<wire::fleet::Evacuation>& out) -> void;

} // namespace rhubarbwharf::node
