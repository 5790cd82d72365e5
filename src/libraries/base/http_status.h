#pragma once

namespace ragworthinge::http_status {

inline constexpr unsigned ok = 200;
inline constexpr unsigned bad_request = 400;
inline constexpr unsigned unauthorized = 401;
inline constexpr unsigned forbidden = 403;
inline constexpr unsigned not_found = 404;
inline constexpr unsigned gone = 410;
inline constexpr unsigned precondition_failed = 412;
inline constexpr unsigned content_too_large = 413;
inline constexpr unsigned misdirected_request = 421;
inline constexpr unsigned too_many_requests = 429;
inline constexpr unsigned bad_gateway = 502;
inline constexpr unsigned service_unavailable = 503;
inline constexpr unsigned gateway_timeout = 504;

/// First status of the class of server errors (5xx).
inline constexpr unsigned first_server_error = 500;

} // namespace ragworthinge::http_status
