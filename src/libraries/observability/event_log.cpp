#include "observability/event_log.h"

#include <log4cplus/consoleappender.h>
#include <log4cplus/initializer.h>
#include <log4cplus/layout.h>

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <ctime>
#include <memory>

namespace ragworthinge {

namespace {

constexpr std::array levels{log_level::debug, log_level::info, log_level::warn, log_level::error, log_level::off};

log4cplus::LogLevel to_library_level(log_level level) noexcept {
    switch (level) {
    case log_level::debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case log_level::info:
        return log4cplus::INFO_LOG_LEVEL;
    case log_level::warn:
        return log4cplus::WARN_LOG_LEVEL;
    case log_level::error:
        return log4cplus::ERROR_LOG_LEVEL;
    case log_level::off:
        break;
    }
    return log4cplus::OFF_LOG_LEVEL;
}

/// Formats a time as RFC 3339 in UTC with milliseconds.
std::string format_time(std::chrono::system_clock::time_point time) {
    const std::time_t seconds = std::chrono::system_clock::to_time_t(time);
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> text{};
    const std::size_t length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%S.", &parts);
    const auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const std::string milliseconds = std::to_string(since_epoch % 1000);
    return std::string(text.data(), length) + std::string(3 - milliseconds.size(), '0') + milliseconds + "Z";
}

/// log4cplus must be initialized before the first logger is created, and until the last one is destroyed.
void initialize_library() {
    static const log4cplus::Initializer initializer;
}

} // namespace

result<log_level> parse_log_level(std::string_view name) {
    for (const log_level level : levels) {
        if (to_string(level) == name)
            return level;
    }
    return failure(error_code::invalid_argument,
                   "unknown log level \"" + std::string(name) + "\"; expected debug, info, warn, error or off");
}

event_log::event_log(host_id host, log_level level, event_log_options options)
    : m_host(std::move(host)), m_level(level), m_options(options), m_lines_left(options.burst),
      m_refilled_at(monotonic_clock::now()) {
    initialize_library();
    m_logger = log4cplus::Logger::getInstance("ragworthinge.events");
    m_logger.setAdditivity(false);
    m_logger.removeAllAppenders();
    const bool to_standard_error = false;
    const bool flush_each_event = true;
    log4cplus::SharedAppenderPtr console(new log4cplus::ConsoleAppender(to_standard_error, flush_each_event));
    console->setLayout(std::make_unique<log4cplus::PatternLayout>("%m%n"));
    m_logger.addAppender(console);
    set_level(level);
}

void event_log::set_level(log_level level) {
    m_level = level;
    m_logger.setLogLevel(to_library_level(level));
}

std::string event_log::start_line(log_level level, std::string_view event) const {
    std::string line = "time=" + format_time(std::chrono::system_clock::now());
    append_field(line, field("level", to_string(level)));
    append_field(line, field("event", event));
    append_field(line, field("host", m_host));
    return line;
}

bool event_log::admit_line() {
    const time_point now = monotonic_clock::now();
    const std::chrono::duration<double> passed = now - m_refilled_at;
    m_refilled_at = now;
    m_lines_left = std::min(m_options.burst, m_lines_left + passed.count() * m_options.lines_per_second);
    pollfd output{STDOUT_FILENO, POLLOUT, 0};
    if (m_lines_left < 1 || ::poll(&output, 1, 0) <= 0) {
        ++m_dropped_lines;
        return false;
    }
    m_lines_left -= 1;
    return true;
}

void event_log::write_line(log_level level, std::string& line) {
    if (!admit_line())
        return;
    if (line.size() > m_options.line_limit)
        line.resize(m_options.line_limit);
    if (m_dropped_lines > 0) {
        append_field(line, field("dropped_lines_before", m_dropped_lines));
        m_dropped_lines = 0;
    }
    m_logger.log(to_library_level(level), line);
}

} // namespace ragworthinge
