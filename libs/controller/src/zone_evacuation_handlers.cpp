/// @file
/// Handlers of the operators' calls that evacuate zones and regions and end the evacuation. An evacuation takes effect
/// at once and completely, in contrast to a drain, which an operator increases in steps (zone_drain_handlers.cpp).
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "order_writer.hpp"

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
  // The entry is written even if this replica already has the requested state: a later order, which this replica has
  // not applied yet, may have reverted it.
  const auto makeEntry = [&] { return state_machine::zoneEvacuationEntry({zone, evacuated}, ""); };
  if (auto written = writeOrder(call, deadline, makeEntry); !written)
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
