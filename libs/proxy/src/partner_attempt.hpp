// One attempt at a partner site's node, as a client of it: with the client's own key.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
// The node has a fifth of the route's aim to begin its answer; whatever is no whole success is left there.
// address: as IP:port. Outcomes as for a runner, without failed and movedAway.
AttemptOutcome attemptOnPartner(Exchange& x, const std::string& address);
}  // namespace zinccleat::proxy
