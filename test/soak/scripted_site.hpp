#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <boost/json/serialize.hpp>
#include <doctest/doctest.h>

#include <fleet.pb.h>
#include <net/scripted_server.hpp>
#include <platform/store.hpp>
#include <rhubarbwharf/net/bus.hpp>
#include <soak/site_fixture.hpp>

namespace rhubarbwharf::soak {

using net::ending;
using net::script;
using net::scripted_server;

/*! @brief Bound on what a server can send before its connection is reset: the largest limit of a gateway and what the
 * kernel holds of a connection. */
inline constexpr std::size_t refused_after_bytes = std::size_t{40} * 1024U * 1024U;
/*! @brief Interval at which a loader reports an unchanged load. */
inline constexpr duration report_interval = std::chrono::milliseconds{300};
/*! @brief Half of the time that the callers of `site_fixture` wait. */
inline constexpr duration early = std::chrono::milliseconds{1'500};
inline const std::string seal = std::string{adapter::field::signature} + ": seal\r\n";
inline const std::string unframed_head = "HTTP/1.1 200 OK\r\n" + seal + "\r\n";

/*! @brief Site with one gateway in which a scripted server of a service is registered. */
class scripted_site {
public:
    scripted_site(const std::string_view service, script lines, const unsigned slots = 4U) {
        m_fixture.m_site.run_in_loop([&](standin_site::site& site) {
            m_server = std::make_unique<scripted_server>(site.loop(), std::move(lines));
            boost::json::object entry{{"service", service},     {"address", net::to_string(m_server->address())},
                                      {"zone", "dc-1"},         {"version", "v1"},
                                      {"slots", slots},         {"state", "ready"},
                                      {"cold-remaining-ms", 0}, {"born", 1},
                                      {"sequence", 0}};
            if (service == "llm") {
                entry["models"] =
                    boost::json::array{boost::json::object{{"name", standin_site::model_name}, {"version", 1}}};
                entry["layers"] = boost::json::object{{"from", 0}, {"to", 4}, {"version", 1}};
                begin_reports(site.loop());
            }
            site.key_value_store().put("servers/scripted", boost::json::serialize(entry));
        });
    }

    ~scripted_site() {
        m_fixture.m_site.run_in_loop([this](standin_site::site&) {
            m_server.reset();
            m_loader.reset();
        });
    }

    scripted_site(const scripted_site&) = delete;
    scripted_site(scripted_site&&) = delete;
    auto operator=(const scripted_site&) -> scripted_site& = delete;
    auto operator=(scripted_site&&) -> scripted_site& = delete;

    /*! @brief Sends requests one after the other until one of them has reached the scripted server.
     * @param path Path of the route.
     * @param body Body of each request.
     * @return The response to that one. */
    [[nodiscard]] auto send_until_reached(const std::string_view path, const std::string& body = "content")
        -> process::call_result {
        process::call_result out{};
        REQUIRE(process::wait_until([&] {
            const auto sent_at = steady_now();
            auto request = site_fixture::make_request("c" + std::to_string(++m_number), path, "c");
            request.m_body = body;
            out = m_fixture.m_client.start(m_fixture.m_fleet.daemons()[0U].m_caller_address, std::move(request)).get();
            m_took = steady_now() - sent_at;
            return count_requests() > 0U;
        }));
        return out;
    }

    [[nodiscard]] auto count_requests() -> unsigned {
        unsigned out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site&) { out = m_server->requests(); });
        return out;
    }

    [[nodiscard]] auto most_bytes() -> std::size_t {
        std::size_t out{};
        m_fixture.m_site.run_in_loop([&](standin_site::site&) { out = m_server->most_bytes(); });
        return out;
    }

    /*! @brief Checks that the last request was ended early, for a limit that the log names. */
    auto check_ended_early(const std::string_view limit) -> void {
        CHECK(m_took < early);
        CHECK(most_bytes() <= refused_after_bytes);
        CHECK(process::wait_until([&] {
            const auto logs = m_fixture.m_fleet.logs();
            const auto at = logs.find("\"event\":\"response.too_large\"");
            return at != std::string::npos &&
                   logs.substr(at, logs.find('\n', at) - at).find('"' + std::string{limit} + '"') != std::string::npos;
        }));
    }

    /*! @brief Reports the scripted runner as its loader does: gateways use no runner of a model without reports. */
    auto begin_reports(net::loop& loop) -> void {
        m_loader = std::make_shared<net::bus>(loop, "scripted-loader", net::bus_limits{},
                                              [](const std::string_view, const std::string_view) {});
        const auto& gateway = m_fixture.m_fleet.daemons()[0U];
        m_loader->connect(gateway.m_name, gateway.m_bus_address);
        loop.every(report_interval,
                   [sender = std::weak_ptr{m_loader}, gateway = gateway.m_name, address = m_server->address()] {
                       const auto loader = sender.lock();
                       if (!loader) {
                           return;
                       }
                       wire::fleet::Frame frame{};
                       frame.set_protocol(1U);
                       frame.set_incarnation(1U);
                       auto& load = *frame.mutable_load();
                       load.set_address(net::to_string(address));
                       load.set_started(1U);
                       load.set_alive(true);
                       load.set_pace(1.0);
                       auto& model = *load.add_models();
                       model.set_name(std::string{standin_site::model_name});
                       model.set_version(1U);
                       static_cast<void>(loader->send(gateway, frame.SerializeAsString()));
                   });
    }

    site_fixture m_fixture{1U};
    std::unique_ptr<scripted_server> m_server{};
    std::shared_ptr<net::bus> m_loader{};
    duration m_took{};
    unsigned m_number{};
};

inline constexpr duration store_call_time = std::chrono::seconds{4};

/*! @brief What the store's client made of a scripted store. */
struct store_result {
    /*! @brief Replies to a list, a grant and a renewal of a lease, a write and a watch. */
    std::vector<adapter::reply> m_replies{};
    /*! @brief Most bytes that the store sent on one connection. */
    std::size_t m_most_bytes{};
};

/*! @brief Makes one call of each kind to a store that sends a script. @param changes What the write changes. */
[[nodiscard]] inline auto call_store(script lines, const adapter::transaction& changes) -> store_result {
    net::loop loop{};
    scripted_server server{loop, std::move(lines)};
    net::http_client client{loop};
    adapter::store tried{client, server.address(), store_call_time};
    store_result out{};
    const auto add = [&](const adapter::reply got) {
        out.m_replies.push_back(got);
        loop.stop();
    };
    const auto into = [&](const auto& got) {
        add(got.m_reply);
    };
    tried.range("op/", {}, into);
    loop.run();
    tried.grant_lease(store_call_time, into);
    loop.run();
    tried.renew_lease(1U, into);
    loop.run();
    tried.commit(changes, [&](const adapter::reply got, std::uint64_t) { add(got); });
    loop.run();
    static_cast<void>(tried.watch("op/", 1U, store_call_time, into));
    loop.run();
    out.m_most_bytes = server.most_bytes();
    return out;
}

/*! @brief Returns the first events of a complete stream. */
[[nodiscard]] inline auto first_events(const unsigned count) -> std::string {
    std::string out{};
    for (unsigned index = 1U; index <= count; ++index) {
        out += standin_site::event_text("content", index);
    }
    return out;
}

} // namespace rhubarbwharf::soak
