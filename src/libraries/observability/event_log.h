#pragma once

#include "base/identifiers.h"
#include "base/log_level.h"
#include "base/result.h"
#include "base/time.h"
#include "observability/log_field.h"

#include <log4cplus/logger.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace ragworthinge {

/// Parses the name of a level. Fails with invalid_argument on any other text.
result<log_level> parse_log_level(std::string_view name);

struct event_log_options {
    /// Average lines per second; further lines are dropped and counted, so that logging does not consume the CPU during
    /// an overload. The value allows one line per request at four times the request rate of one host.
    double lines_per_second = 500;
    double burst = 1000;
    std::size_t line_limit =
        4000; ///< Maximum size of a line in bytes. A writable pipe accepts 4096 bytes without blocking.
};

/// Writes one line of key=value pairs per event to standard output: time, level, event, host, then the event's fields.
/// Never blocks: while standard output is not writable, lines are dropped and counted.
class event_log {
public:
    event_log(host_id host, log_level level, event_log_options options = {});

    /// Sets the minimum level that is written. May be called at any time.
    void set_level(log_level level);

    log_level level() const noexcept { return m_level; }

    bool is_enabled(log_level level) const noexcept { return level >= m_level && level != log_level::off; }

    /// Writes an event if its level is enabled. Create the fields with `field`.
    template <class... Values>
    void write(log_level level, std::string_view event, const log_field<Values>&... fields) {
        if (!is_enabled(level))
            return;
        std::string line = start_line(level, event);
        (append_field(line, fields), ...);
        write_line(level, line);
    }

private:
    std::string start_line(log_level level, std::string_view event) const;
    void write_line(log_level level, std::string& line);
    bool admit_line();

    host_id m_host;
    log_level m_level;
    log4cplus::Logger m_logger;
    event_log_options m_options;
    double m_lines_left;
    time_point m_refilled_at;
    std::uint64_t m_dropped_lines = 0; ///< Lines dropped since the last one that was written.
};

} // namespace ragworthinge
