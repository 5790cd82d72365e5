#pragma once

#include "base/byte_budget.h"
#include "base/time.h"
#include "net/http_exchange.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>

namespace ragworthinge {

class fiber_runtime;

struct body_reader_options {
    /// Bytes of request bodies that are held at the same time: a fifth of the smallest host's memory of 160 MB.
    std::size_t memory = 32UL * 1024 * 1024;
    /// Bodies above this are large: four read chunks, more than what a connection reads ahead anyway. Only for these it
    /// pays to decide before they are read.
    std::size_t large_body_bytes = 64UL * 1024;
    /// Longest time for which reading is held back while the memory is short; the caller is blocked by TCP flow control
    /// meanwhile. A body of 1 MB takes 0.8 s on a link of 10 Mbit/s, so others finish within it.
    duration hold_limit = std::chrono::seconds(1);
    duration retry_period = std::chrono::milliseconds(10);
    duration retry_after = std::chrono::milliseconds(500); ///< Of refusals because the memory stayed short.
};

/// Reads request bodies into memory that all requests of the host share. Designed for many uploads at once, some of
/// them from slow senders: the declared length is reserved before reading, so that a body that has begun can finish.
class body_reader {
public:
    /// How reading ended: complete, refused with a status, or incomplete with status 0, after which the connection is
    /// closed.
    struct ending {
        bool is_complete = false;
        unsigned status = 0;
        std::string_view reason;
        duration retry_after{0};
    };

    explicit body_reader(fiber_runtime& runtime, body_reader_options options = {})
        : m_runtime(runtime), m_options(options), m_memory(options.memory, 0) {}

    /// Whether the request announces a body that is large, or one of unknown length.
    bool is_large(const http_request_head& head) const noexcept;

    /// Whether it is worth asking for a place before the body is read: it is large and within the limits.
    bool asks_before_reading(const http_request_head& head, std::size_t limit) const noexcept {
        return is_large(head) && !is_too_large(head, limit);
    }

    /// Reads the body and reserves memory for it. Blocks the fiber. Memory is waited for until `deadline` at most.
    ending read(http_exchange& exchange, std::size_t limit, time_point deadline, std::string& body,
                byte_reservation& reserved);

    /// For a new reservation, which must not outlive this object.
    byte_budget& memory() noexcept { return m_memory; }

private:
    bool is_too_large(const http_request_head& head, std::size_t limit) const noexcept;
    ending no_memory() const noexcept;
    bool reserve(byte_reservation& reserved, std::size_t bytes, bool may_wait, time_point deadline);

    fiber_runtime& m_runtime;
    body_reader_options m_options;
    byte_budget m_memory;
};

} // namespace ragworthinge
