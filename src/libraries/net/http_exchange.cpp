#include "net/http_exchange.h"

#include <utility>

namespace ragworthinge {

result<void> respond(http_exchange& exchange, http_response_head head, std::string_view body) {
    head.content_length = body.size();
    exchange.begin_response(std::move(head));
    if (!body.empty()) {
        BOOST_OUTCOME_TRYV(exchange.write_body(body));
    }
    return exchange.finish();
}

} // namespace ragworthinge
