/// @file
/// Whether a request is accepted: shutdown, lease, route, key, overload and quota, the cheapest check first.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
/// Why a request was rejected. Nothing of it has run.
struct Rejection {
  int status = 503;         ///< HTTP status
  Duration retryAfter{0};   ///< zero: the response names no time
  std::string_view reason;  ///< for the response's body
};
/// Fills in the route, service, tenant, precedence and deadline of the request and the query for its runner.
/// May wait for a part of the route's latency target while the leader is asked for a quota token.
/// @return the reason if the request is rejected.
std::optional<Rejection> admit(Exchange& exchange);
}  // namespace zinccleat::proxy
