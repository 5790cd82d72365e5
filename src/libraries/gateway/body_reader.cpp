#include "gateway/body_reader.h"

#include "base/boot_clock.h"
#include "base/http_status.h"
#include "net/fiber_runtime.h"

#include <algorithm>
#include <array>

namespace ragworthinge {

namespace {

constexpr std::size_t read_chunk_bytes = 16UL * 1024;
constexpr body_reader::ending too_large{.status = http_status::content_too_large, .reason = "the body is too large"};

} // namespace

bool body_reader::is_large(const http_request_head& head) const noexcept {
    if (head.content_length)
        return *head.content_length > m_options.large_body_bytes;
    return head.has_body;
}

bool body_reader::is_too_large(const http_request_head& head, std::size_t limit) const noexcept {
    return head.content_length && *head.content_length > std::min(limit, m_options.memory);
}

body_reader::ending body_reader::no_memory() const noexcept {
    return {.status = http_status::service_unavailable,
            .reason = "too many bodies are held",
            .retry_after = m_options.retry_after};
}

bool body_reader::reserve(byte_reservation& reserved, std::size_t bytes, bool may_wait, time_point deadline) {
    const time_point ends_at = std::min(deadline, boot_time_now() + m_options.hold_limit);
    while (!reserved.try_add(bytes)) {
        if (!may_wait || boot_time_now() >= ends_at)
            return false;
        m_runtime.sleep_for(m_options.retry_period);
    }
    return true;
}

body_reader::ending body_reader::read(http_exchange& exchange, std::size_t limit, time_point deadline,
                                      std::string& body, byte_reservation& reserved) {
    const http_request_head& head = exchange.request();
    if (is_too_large(head, limit))
        return too_large;
    const bool is_reserved_whole = head.content_length && is_large(head);
    if (is_reserved_whole && !reserve(reserved, static_cast<std::size_t>(*head.content_length), true, deadline))
        return no_memory();
    if (is_reserved_whole)
        body.reserve(
            static_cast<std::size_t>(*head.content_length)); // Growth by doubling would take up to twice as much.
    std::array<char, read_chunk_bytes> chunk{};
    for (;;) {
        const auto size = exchange.read_body(chunk);
        if (!size)
            return {.reason = "the caller's body did not arrive whole"};
        if (size.value() == 0)
            return {.is_complete = true};
        if (body.size() + size.value() > limit)
            return too_large;
        const bool may_wait = body.size() > m_options.large_body_bytes;
        if (!is_reserved_whole && !reserve(reserved, size.value(), may_wait, deadline))
            return no_memory();
        body.append(chunk.data(), size.value());
    }
}

} // namespace ragworthinge
