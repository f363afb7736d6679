#pragma once

#include <memory>
#include <string>
#include <string_view>

#include <rhubarbwharf/core/time.hpp>
#include <rhubarbwharf/net/fwd.hpp>

namespace rhubarbwharf::net {

/*! @brief Counters, gauges and histograms of one process, in prometheus-cpp. */
class counters {
public:
    counters();
    ~counters();

    counters(const counters&) = delete;
    counters(counters&&) = delete;
    auto operator=(const counters&) -> counters& = delete;
    auto operator=(counters&&) -> counters& = delete;

    /**
     * @brief Adds to a counter.
     * @param name Metric name without the prefix `rhubarbwharf_`.
     * @param amount What to add, zero or more.
     * @param label Value of the label `kind`; empty for none.
     */
    auto add(std::string_view name, double amount = 1.0, std::string_view label = {}) -> void;

    /*! @brief Sets a gauge. @param name Metric name. @param value The value. @param label Value of the label `kind`. */
    auto set(std::string_view name, double value, std::string_view label = {}) -> void;

    /*! @brief Adds to a histogram in seconds. @param name Metric name. @param value The time taken. */
    auto observe(std::string_view name, duration value) -> void;

    /*! @brief Returns the value of a counter, for tests and dumps. @return The value; 0 if there is none. */
    [[nodiscard]] auto value(std::string_view name, std::string_view label = {}) const -> double;

    /*! @brief Writes all metrics in the text form that Prometheus reads. @return The text. */
    [[nodiscard]] auto text() const -> std::string;

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace rhubarbwharf::net
