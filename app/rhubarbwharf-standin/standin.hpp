#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/json.hpp>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/http.hpp>
#include <rhubarbwharf/net/loop.hpp>

/**
 * @brief Small stand-ins for what the users run beside the system: engine, ledger, platform and origin.
 */
namespace rhubarbwharf::standin {

/*! @brief Options of all roles, from the command line. */
struct options {
    std::string m_role{};
    net::endpoint m_listen{};

    std::uint32_t m_capacity{8};
    duration m_token_time{std::chrono::milliseconds{5}};
    /*! @brief Prefill time for each started kilobyte of prompt that is not cached. */
    duration m_prefill_time{std::chrono::milliseconds{10}};
    std::size_t m_prefix_slots{32};
    /*! @brief Delay of cache reports and of the list of instances. */
    duration m_lag{std::chrono::seconds{2}};
    bool m_ignore_fencing{};

    /*! @brief Time that one ledger call runs. */
    duration m_work_time{std::chrono::milliseconds{2}};

    double m_reads_per_second{2000.0};
    double m_writes_per_second{400.0};

    /*! @brief `NAME:VERSION:SIZE`, with commas between. */
    std::string m_versions{};
    std::size_t m_chunk_bytes{256UL * 1024UL};
    /*! @brief Chunks at the start that all versions of a name have in common. */
    std::size_t m_shared_chunks{};
    /*! @brief Bytes a second that the origin gives out; 0 for no limit. */
    double m_rate{};
};

/*! @brief One fault that is set. */
struct fault {
    std::string m_kind{};
    /*! @brief Requests that are still hit; 0 for all until cleared. */
    std::uint64_t m_count{};
    duration m_time{};
    std::string m_match{};
};

/*! @brief The faults that are set in this process. */
struct faults {
    std::vector<fault> m_active{};
    time_point m_down_until{};
    /*! @brief Called with kinds that the role itself carries out. */
    std::function<void(const fault&)> m_on_set{};
};

/**
 * @brief Looks for a fault and uses up one of its hits.
 * @param table The faults.
 * @param kind The kind.
 * @param request The request that is hit.
 * @return The fault, or nothing.
 */
[[nodiscard]] auto take(faults& table, std::string_view kind, const net::http_request& request) -> std::optional<fault>;

/**
 * @brief Looks a fault up without using it up.
 * @param table The faults.
 * @param kind The kind.
 * @return The fault, or null.
 */
[[nodiscard]] auto find(const faults& table, std::string_view kind) -> const fault*;

/**
 * @brief Puts the faults before a role: takes `POST /fault`, and spoils the requests that are hit.
 * @param owner The loop.
 * @param table The faults.
 * @param inner The role.
 * @return The handler for the listener.
 */
[[nodiscard]] auto with_faults(net::loop& owner, const std::shared_ptr<faults>& table, const net::http_handler& inner)
    -> net::http_handler;

/*! @brief Makes a response with a JSON body. @param status The status. @param value The body. @return The response. */
[[nodiscard]] auto json_response(std::uint16_t status, const boost::json::value& value) -> net::http_response;

/*! @brief Reads a JSON object. @param text The JSON. @return The object; empty if the text is none. */
[[nodiscard]] auto parse_object(std::string_view text) -> boost::json::object;

/*! @brief Reads a text member. @param object The object. @param name The member. @return The text, or nothing. */
[[nodiscard]] auto text_of(const boost::json::object& object, std::string_view name) -> std::string;

/**
 * @brief Reads a number that is written as a number or, as etcd does, as text.
 * @param object The object.
 * @param name The member.
 * @param otherwise What is returned if there is none.
 * @return The number.
 */
[[nodiscard]] auto number_of(const boost::json::object& object, std::string_view name, std::int64_t otherwise = 0)
    -> std::int64_t;

/*! @brief Makes the role `engine`. */
[[nodiscard]] auto make_engine(net::loop& owner, net::http_client& http, const options& set,
                               const std::shared_ptr<faults>& table) -> net::http_handler;
/*! @brief Makes the role `ledger`. */
[[nodiscard]] auto make_ledger(net::loop& owner, const options& set) -> net::http_handler;
/*! @brief Makes the role `platform`. */
[[nodiscard]] auto make_platform(net::loop& owner, const options& set, const std::shared_ptr<faults>& table)
    -> net::http_handler;
/*! @brief Makes the role `origin`. */
[[nodiscard]] auto make_origin(net::loop& owner, const options& set) -> net::http_handler;

} // namespace rhubarbwharf::standin
