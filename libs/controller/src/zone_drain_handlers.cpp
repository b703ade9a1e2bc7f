/// @file
/// Handlers of the operators' calls that drain zones and regions. The HTTP API calls a drain a closure, and a zone or
/// region a place.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/control_requests.hpp"
#include "order_writer.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::int32_t kFullDrainPercent = 100;

/// Whether a call increases the drain beyond the drain in force.
bool drainsMore(const config::ZoneDrainRequest& requested, const std::vector<state_machine::ZoneDrain>& drains) {
  const auto current =
      std::find_if(drains.begin(), drains.end(), [&](const auto& drain) { return drain.zone == requested.zone; });
  if (current == drains.end())
    return requested.drainPercent > 0 || requested.notAccepting;
  return requested.drainPercent > current->drainPercent || (requested.notAccepting && !current->notAccepting);
}
/// Validates a call against the settings and the load of the fleet.
/// @return an error response if the call must not be executed now; none: it may be.
std::optional<ApiResponse> validateRequest(const config::ZoneDrainRequest& requested,
                                           const ControllerServices& services) {
  if (!isZoneOrRegion(services.settings(), requested.zone))
    return errorResponse(HttpStatus::bad_request, "no zone or region '" + requested.zone + "'");
  // While the fleet's request rate is above the limit in the call, a drain may not be increased unless the call forces
  // it.
  const double requestsPerS = services.requestsPerS();
  const bool busy = requested.calmBelowPerS > 0 && requestsPerS > requested.calmBelowPerS;
  if (busy && !requested.force && drainsMore(requested, services.replica().state().zoneDrains))
    return errorResponse(HttpStatus::conflict,
                         "live play: " + std::to_string(static_cast<int>(requestsPerS)) + " requests a second");
  if (requested.notAccepting && requested.drainPercent < kFullDrainPercent)
    return errorResponse(HttpStatus::bad_request, "doors are shut only once all new work keeps away (share 100)");
  return std::nullopt;
}
ApiResponse setZoneDrain(const ApiCall& call, const ResponseDeadline& deadline) {
  auto& services = call.services;
  const auto requested = config::parseZoneDrainRequest(call.request.body);
  if (!requested)
    return errorResponse(requested.error());
  if (auto refusal = validateRequest(*requested, services))
    return *refusal;
  const state_machine::ZoneDrain drain{requested->zone, requested->note, requested->drainPercent,
                                       requested->notAccepting};
  const auto makeEntry = [&] { return state_machine::zoneDrainEntry(drain, requested->open, ""); };
  if (auto written = writeOrder(call, deadline, makeEntry); !written)
    return errorResponse(written.error());
  return {HttpStatus::ok, services.zoneDrainsJson(), ""};
}
/// Returns a redirect or an error response unless this controller leads and its replica is fresh.
std::optional<ApiResponse> errorUnlessFreshLeader(const ApiCall& call, const ResponseDeadline& deadline) {
  if (!call.services.awaitContact(kContactTimeout))
    return noContactResponse();
  if (const auto leader = call.services.leaderControlAddress())
    return redirectTo(*leader, call.path);
  return errorUnlessFresh(call.services, deadline);
}
}  // namespace

ApiResponse handleSetZoneDrain(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto response = errorUnlessFreshLeader(call, deadline))
    return *response;
  return setZoneDrain(call, deadline);
}
ApiResponse handleListZoneDrains(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto response = errorUnlessFreshLeader(call, deadline))
    return *response;
  return {HttpStatus::ok, call.services.zoneDrainsJson(), ""};
}
}  // namespace zinccleat::controller
