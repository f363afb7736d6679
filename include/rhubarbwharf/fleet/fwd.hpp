#pragma once

#include <cstdint>

/**
 * @brief What a process knows of its deployment: routes, backend servers, weights, and who told it.
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
