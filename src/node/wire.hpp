#pragma once

#include <fleet.pb.h>
#include <rhubarbwharf/fleet/member.hpp>
#include <rhubarbwharf/fleet/server.hpp>

namespace rhubarbwharf::node {

/*! @brief Converts a member to its message. */
auto to_wire(const fleet::member& value, wire::fleet::Member& out) -> void;

/*! @brief Converts a message to a member; endpoints that are missing or malformed have port 0. */
[[nodiscard]] auto from_wire(const wire::fleet::Member& value) -> fleet::member;

/*! @brief Converts a backend server to its message. */
auto to_wire(const fleet::backend_server& value, wire::fleet::Server& out) -> void;

/*! @brief Converts a message to a backend server; an address that is missing or malformed has port 0. */
[[nodiscard]] auto from_wire(const wire::fleet::LeavingServer& value) -> fleet::leaving_server;
[[nodiscard]] auto from_wire(const wire::fleet::Server& value) -> fleet::backend_server;

/*! @brief Appends a list of held models to repeated messages. */
auto to_wire(const std::vector<fleet::held_model>& models,
             google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& out) -> void;

/*! @brief Converts repeated messages to a list of held models. */
[[nodiscard]] auto from_wire(const google::protobuf::RepeatedPtrField<wire::fleet::HeldModel>& models)
    -> std::vector<fleet::held_model>;

} // namespace rhubarbwharf::node
