#pragma once

#include <cstdint>

/**
 * @brief Deployment as one process knows it: configuration, members, backend servers and weights.
 */
namespace rhubarbwharf::fleet {

enum class repeat : std::uint8_t;
struct share;
struct route;
struct engine;
struct origin;
struct service;
struct organisation;
struct configuration;
struct held_model;
struct backend_server;
struct load_report;
struct weights_target;
struct servers;
struct member;
struct members;

} // namespace rhubarbwharf::fleet
