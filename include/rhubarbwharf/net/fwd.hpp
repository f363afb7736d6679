#pragma once

/**
 * @brief Shells over Asio, Beast and ZeroMQ: they turn bytes into events and commands into bytes.
 */
namespace rhubarbwharf::net {

class loop;
class http_server;
class http_client;
class responder;
class call;
class bus;
class counters;
class event_log;

struct endpoint;
struct header;
struct http_request;
struct http_response;
struct http_limits;
struct bus_limits;

} // namespace rhubarbwharf::net
