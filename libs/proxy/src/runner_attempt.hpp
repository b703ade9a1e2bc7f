// One attempt at one runner: connection, request, answer.
#pragma once
#include "exchange.hpp"
namespace zinccleat::proxy {
// Sends the request to the runner that exchange.runner names and relays its answer, unless that is a failure, which is
// kept in exchange.failure. Any outcome but notSent means that bytes of the request have left.
AttemptOutcome attemptOnRunner(Exchange& exchange);
}  // namespace zinccleat::proxy
