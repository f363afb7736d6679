#pragma once

#include <fleet.pb.h>
#include <rhubarbwharf/fleet/member.hpp>
#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::node {

/*! @brief Writes a member. @param value The member. @param out Where it goes. */
auto to_wire(const fleet::member& value, wire::fleet::Member& out) -> void;

/*! @brief Reads a member. @param value The message. @return The member. */
[[nodiscard]] auto from_wire(const wire::fleet::Member& value) -> fleet::member;

/*! @brief Writes a backend server. @param value The server. @param out Where it goes. */
auto to_wire(const fleet::backend_server& value, wire::fleet::Server& out) -> void;

/*! @brief Reads a backend server. @param value The message. @return The server. */
[[nodiscard]] auto from_wire(const wire::fleet::Server& value) -> fleet::backend_server;

/*! @brief Writes a list of models. @param models The list. @param out Where it goes. */
auto to_wire(const std::vector<fleet::held_model>& models,
             google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& out) -> void;

/*! @brief Reads a list of models. @param models The messages. @return The list. */
[[nodiscard]] auto from_wire(const google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& models)
    -> std::vector<fleet::held_model>;

} // namespace rhubarbwharf::node
