#include <string>

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <rhubarbwharf/net/log.hpp>

namespace rhubarbwharf::net {

namespace internal {

[[nodiscard]] auto to_log4cxx(const level severity) -> log4cxx::LevelPtr {
    switch (severity) {
    case level::debug:
        return log4cxx::Level::getDebug();
    case level::info:
        return log4cxx::Level::getInfo();
    case level::warn:
        return log4cxx::Level::getWarn();
    case level::error:
        break;
    }
    return log4cxx::Level::getError();
}

/*! @brief Doubles each percent sign, which a layout's pattern would read as a conversion. */
[[nodiscard]] auto escape_pattern(const std::string_view text) -> std::string {
    std::string out{};
    for (const auto letter : text) {
        out.append(letter == '%' ? 2U : 1U, letter);
    }
    return out;
}

} // namespace internal

auto start_log(const std::string_view instance, const level least) -> void {
    const auto pattern = "%d{ISO8601} %-5p " + internal::escape_pattern(instance) + " %c: %m%n";
    const log4cxx::LayoutPtr layout{new log4cxx::PatternLayout{pattern}};
    const log4cxx::AppenderPtr appender{new log4cxx::ConsoleAppender{layout, log4cxx::ConsoleAppender::getSystemErr()}};
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(internal::to_log4cxx(least));
}

auto log(const level severity, const std::string_view module, const std::string_view text) -> void {
    const auto logger = log4cxx::Logger::getLogger(std::string{module});
    const auto severe = internal::to_log4cxx(severity);
    if (logger->isEnabledFor(severe)) {
        logger->forcedLog(severe, std::string{text}, log4cxx::spi::LocationInfo::getLocationUnavailable());
    }
}

} // namespace rhubarbwharf::net
