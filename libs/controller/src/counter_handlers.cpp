/// @file
/// Handlers of the applications' calls on replicated counters, which the HTTP API calls tallies. Each controller
/// answers them by itself, with or without contact to the others.
///
/// A call that could not be acknowledged in time ends without an answer. Its increment may still be counted; the caller
/// sends the call again with the same id.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/coordination_requests.hpp"
#include "config/counter_requests.hpp"
#include "json_object.hpp"

namespace zinccleat::controller {
ApiResponse handleModifyTally(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto named = config::checkName(call.subject); !named)
    return errorResponse(named.error());
  const auto request = config::parseIncrementRequest(call.request.body);
  if (!request)
    return errorResponse(request.error());
  const replicated_counters::Increment increment{std::string(call.subject), request->instanceId, request->amount};
  if (auto added = call.services.addToCounter(increment, deadline.left()); !added)
    return errorResponse(added.error());
  return {};
}
ApiResponse handleRetrieveTally(const ApiCall& call) {
  if (auto named = config::checkName(call.subject); !named)
    return errorResponse(named.error());
  const auto total = call.services.counterTotal(std::string(call.subject));
  if (!total)
    return errorResponse(total.error());
  return {HttpStatus::ok, JsonObject().number("total", *total).json(), ""};
}
ApiResponse handleListTallies(const ApiCall& call) {
  return {HttpStatus::ok, call.services.replicatedCountersJson(), ""};
}
}  // namespace zinccleat::controller
