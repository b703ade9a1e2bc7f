/// @file
/// Decides whether a request is accepted. Checks shutdown, lease, route, key, overload and quota, cheapest check first.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
/// The response to a rejected request. A rejected request has not run at all.
struct Rejection {
  int status = 503;         ///< HTTP status
  Duration retryAfter{0};   ///< value of `Retry-After`; 0 omits the header
  std::string_view reason;  ///< text for the body of the response
};
/// Checks a request and sets its route, service, tenant, precedence, deadline and runner query.
/// May wait for a fraction of the route's latency target while the leader is asked for a quota token.
/// @return the rejection; none if the request is accepted.
std::optional<Rejection> admit(Exchange& exchange);
}  // namespace zinccleat::proxy
