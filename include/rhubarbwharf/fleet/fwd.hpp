#pragma once

#include <cstdint>

/**
 * @brief Deployment as one process knows it: configuration, members, backend servers and weights.
 */
namespace rhubarbwharf::fleet {

enum class idempotency : std::uint8_t;
struct allowed_regions;
struct unknown_region;
struct traffic_share;
struct route;
struct engine_profile;
struct origin;
struct service;
struct organisation;
struct configuration;
struct held_model;
struct backend_server;
struct load_report;
struct weights_target;
struct server_table;
struct member;
struct members;
struct data_centre_demand;
struct heard_gateway;
struct region_status;
struct arrival_time;
struct stall;
struct stall_record;
struct server_limit;
struct evacuation;
struct warm_up_terms;

} // namespace rhubarbwharf::fleet
