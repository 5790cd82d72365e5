#pragma once

#include "store/platform_store.h"

#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

/// Encodes requests and decodes responses of etcd's v3 JSON gateway. Keys and values are base64, 64-bit integers are
/// strings, and zero or empty members are omitted. Decoding fails with protocol_violation.
namespace ragworthinge::etcd {

/// One message of a watch stream, which carries one JSON object per line.
struct watch_message {
    bool compacted = false; ///< The requested start revision was compacted.
    bool canceled = false;  ///< The store ended the watch.
    std::int64_t revision = 0;
    std::vector<store_event> events;
};

std::string range_request(const std::string& key);
std::string prefix_request(const std::string& prefix);
std::string transaction_request(const store_transaction& transaction);
std::string lease_grant_request(std::chrono::seconds ttl);
std::string lease_keepalive_request(std::int64_t lease);
std::string watch_request(const std::string& prefix, std::int64_t first_revision);

result<boost::json::object> parse_object(std::string_view text);

/// Revision in the header of the response; every valid response has a positive one.
result<std::int64_t> read_revision(const boost::json::object& response);
result<store_range> read_range(const boost::json::object& response);
result<store_transaction_result> read_transaction(const boost::json::object& response);
result<std::int64_t> read_lease_id(const boost::json::object& response);
/// Remaining time to live of the lease; zero if it has ended.
result<std::chrono::seconds> read_lease_ttl(const boost::json::object& response);
result<watch_message> read_watch_message(std::string_view line);

/// Converts an error response. `unavailable` means any failure of the store itself, after which the outcome of a write
/// is unknown; `budget_exhausted` means that the store rejected the call without executing it.
error read_error(unsigned status, std::string_view body);

} // namespace ragworthinge::etcd
