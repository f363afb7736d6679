#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/dispatch/fwd.hpp>
#include <rhubarbwharf/dispatch/health.hpp>
#include <rhubarbwharf/fleet/configuration.hpp>
#include <rhubarbwharf/fleet/server.hpp>
#include <rhubarbwharf/net/http.hpp>

namespace rhubarbwharf::dispatch {

/*! @brief What one gateway knows of the load of a backend server. */
struct server_load {
    std::string m_id{};
    std::uint64_t m_started{};
    std::string m_service{};
    net::endpoint m_address{};
    std::string m_data_centre{};
    unsigned m_slots{1};
    bool m_draining{false};
    /*! @brief Whether it has left the list; kept until the own requests there have ended. */
    bool m_gone{false};
    std::vector<fleet::held_model> m_models{};
    /*! @brief Requests that this gateway may have there when its slots run short. */
    double m_quota{};
    /*! @brief Own requests in progress there. */
    unsigned m_own{};
    /*! @brief Own prompt tokens sent there whose answer has not begun. */
    double m_unread{};
    /*! @brief Requests of others there by the last report. */
    double m_others{};
    /*! @brief Requests of others that waited there by the last report. */
    double m_others_waiting{};
    /*! @brief When the last report came; the epoch if none has. */
    time_point m_reported{};
    /*! @brief When it last refused a request for want of room. */
    time_point m_refused{};
    /*! @brief Whether it is loading weights, and so begins nothing new. */
    bool m_busy{false};
    /*! @brief Its times over the usual ones. */
    double m_pace{1.0};
    health m_health{};
};

/*! @brief What one request asks for. */
struct demand {
    /*! @brief Prompt tokens; 0 for a plain service. */
    double m_prompt{};
    /*! @brief Model whose weights are needed; empty for none. */
    std::string_view m_model{};
    /*! @brief Layers of that model. */
    unsigned m_layers{};
    /*! @brief Oldest version that may answer; 0 for any. */
    std::uint64_t m_least_version{};
    /*! @brief Only version that may answer, as when a stream goes on; 0 for any. */
    std::uint64_t m_version{};
    /*! @brief Backend servers that it has been sent to. */
    std::span<const std::string> m_tried{};
};

/*! @brief Inputs of a choice that all requests share. */
struct placement_limits {
    std::string_view m_data_centre{};
    /*! @brief Added to the predicted time of a backend server in another data centre, in ms. */
    double m_remote_penalty_ms{15.0};
    /*! @brief Requests beyond its slots that a backend server may hold, by reports that lag. */
    double m_beyond_slots{0.0};
    /*! @brief Slots of a backend server that are filled by quota alone; those free beyond them are shared out. */
    double m_reserve{3.0};
    /*! @brief Gateways that share what is free. */
    double m_gateways{1.0};
    /*! @brief Backend servers that one request is weighed over, drawn anew for each: gateways that have the same
     * reports would all choose the same one until the next report. */
    double m_sample_size{6.0};
    /*! @brief Spread added to each prediction, so that gateways with the same reports choose differently, in ms. */
    double m_jitter_ms{8.0};
};

/*! @brief Age of a report from which its backend server may be cut off or down: three reports missed. */
inline constexpr duration stale_report_age = std::chrono::milliseconds{1'400};
/*! @brief Added to the predicted time of a backend server whose reports have stopped, in ms. */
inline constexpr double stale_report_penalty_ms = 400.0;

/*! @brief Added to the predicted time of a runner where this gateway has used its quota up, in ms: quotas differ
 * between gateways, so that many gateways do not choose the same runner by the same report. */
inline constexpr double over_quota_penalty_ms = 30.0;

/*! @brief Passes that go by before the first token of a request that finds a slot: half of the one under way, and its
 * own. */
inline constexpr double passes_before_first_token = 1.5;

/*! @brief The same where all slots are taken and prompts are read all the while: reading is shared out between passes.
 */
inline constexpr double passes_when_full = 2.5;

/**
 * @brief Predicts the time of one pass over all running requests. Reading the prompts of those that come and go takes
 * as long again as writing when all slots are taken.
 * @param engine How the runner works.
 * @param held Requests there.
 * @return The time in ms.
 */
[[nodiscard]] auto pass_time(const fleet::engine& engine, double requests) noexcept -> double;

/*! @brief Backend server chosen, and why. */
struct choice {
    std::size_t m_index{};
    /*! @brief Predicted time to the first byte, in ms. */
    double m_first_ms{};
    /*! @brief Requests thought to be there. */
    double m_load{};
};

/*! @brief Estimates the requests at a backend server. @param row It. @return Running and waiting ones. */
[[nodiscard]] auto load(const server_load& row) noexcept -> double;

/**
 * @brief Predicts the time to the first byte of an answer.
 * @param row The backend server.
 * @param engine How it works; null for a plain service.
 * @param prompt Prompt tokens.
 * @return The time in ms.
 */
[[nodiscard]] auto predict_first_byte_ms(const server_load& row, const fleet::engine* engine, double prompt) noexcept
    -> double;

/*! @brief Tells whether any backend server holds the model in a version that a request may begin on, busy or not.
 * @param rows The backend servers. @param wanted The request. @return Whether one does. */
[[nodiscard]] auto is_held(std::span<const std::shared_ptr<server_load>> rows, const demand& required) noexcept -> bool;

/*! @brief Tells whether a backend server may run a request at all, full or not. @param row It. @param wanted The
 * request. @param now The time. @return Whether it may. */
[[nodiscard]] auto is_fit(const server_load& row, const demand& required, time_point now) noexcept -> bool;

/*! @brief Tells whether a backend server may be sent one more. @param row It. @param limits The limits.
 * @return Whether it may. */
[[nodiscard]] auto has_capacity(const server_load& row, const placement_limits& options) noexcept -> bool;

/**
 * @brief Chooses the backend server with the least predicted time to the first byte among those that are fit and have
 * room. Answers bursts: each own request counts at once, while reports lag.
 * @param rows Backend servers of one service.
 * @param engine How they work; null for a plain service.
 * @param wanted The request.
 * @param limits The limits.
 * @param random Random bits.
 * @param now The time.
 * @return The choice, or nothing if none has room.
 */
[[nodiscard]] auto choose(std::span<const server_load* const> rows, const fleet::engine* engine, const demand& required,
                          const placement_limits& options, std::uint64_t random, time_point now)
    -> std::optional<choice>;

} // namespace rhubarbwharf::dispatch
