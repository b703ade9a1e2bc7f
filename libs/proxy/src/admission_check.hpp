// Whether a request is taken at all: lease, route, key, overload and quota, in the order that costs least.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
// Why a request is turned away: nothing of it has run.
struct Refusal {
  int status = 503;
  Duration retryAfter{0};  // zero: none is named
  std::string_view why;
};
// Fills in route, service, tenant, rank and deadline, and what is asked of a runner; or says why not.
// May wait for a short part of the route's aim where the tenant's quota is being drawn.
std::optional<Refusal> admit(Exchange& x);
}  // namespace zinccleat::proxy
