/// @file
/// The calls of operators that evacuate zones and regions and take them back in use. Beside drains, which an operator
/// turns up in steps (zone_drain_handlers.cpp), an evacuation binds at once and completely.
#include "api_handlers.hpp"
#include "api_responses.hpp"

namespace zinccleat::controller {
namespace {
ApiResponse setEvacuation(const ApiCall& call, bool evacuated) {
  const ResponseDeadline deadline;
  auto& services = call.services;
  const std::string zone(call.subject);
  if (!isZoneOrRegion(services.settings(), zone))
    return errorResponse(HttpStatus::bad_request, "no zone or region '" + zone + "'");
  if (!services.awaitContact(kContactTimeout))
    return noContactResponse();
  // Written again if it is in force already: the order that this one repeats may have been undone meanwhile.
  auto entry = state_machine::zoneEvacuationEntry({zone, evacuated}, services.nextOperationId());
  if (auto written = services.write(std::move(entry), deadline.left()); !written)
    return errorResponse(written.error());
  return {};
}
}  // namespace

ApiResponse handleBeginEvacuation(const ApiCall& call) {
  return setEvacuation(call, true);
}
ApiResponse handleReleaseEvacuation(const ApiCall& call) {
  return setEvacuation(call, false);
}
}  // namespace zinccleat::controller
