/// @file
/// Handlers of the calls that exchange prefix hints with the partner site and that report this controller's status,
/// platform functions and traffic counters.
#include "api_handlers.hpp"
#include "api_responses.hpp"

namespace zinccleat::controller {
ApiResponse handleExchangeHints(const ApiCall& call) {
  auto& services = call.services;
  if (!services.inContact())
    return noContactResponse();
  if (const auto leader = services.leaderControlAddress())
    return redirectTo(*leader, call.path);
  auto hints = services.exchangeHints(call.request.body, call.request.hintSeal);
  if (!hints)
    return errorResponse(hints.error());
  return {HttpStatus::ok, std::move(*hints), ""};
}
ApiResponse handleStatus(const ApiCall& call) {
  return {HttpStatus::ok, call.services.statusJson(), ""};
}
ApiResponse handleListFunctions(const ApiCall& call) {
  auto& services = call.services;
  if (const auto leader = services.leaderControlAddress())
    return redirectTo(*leader, call.path);
  return {HttpStatus::ok, services.platformJson(), ""};
}
ApiResponse handleCounters(const ApiCall& call) {
  return {HttpStatus::ok, call.services.countersJson(), ""};
}
}  // namespace zinccleat::controller
