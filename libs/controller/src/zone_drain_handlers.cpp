/// @file
/// The calls of operators that drain zones and regions. The wire calls a drain a closure, and a zone or region a place.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/control_requests.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::int32_t kFullDrain = 100;  // percent

/// Whether a call drains more than what is in force.
bool drainsMore(const config::ZoneDrainRequest& wanted, const std::vector<state_machine::ZoneDrain>& drains) {
  const auto current =
      std::find_if(drains.begin(), drains.end(), [&](const auto& drain) { return drain.zone == wanted.zone; });
  if (current == drains.end())
    return wanted.drainPercent > 0 || wanted.notAccepting;
  return wanted.drainPercent > current->drainPercent || (wanted.notAccepting && !current->notAccepting);
}
/// Refuses a call that must not be carried out now; none: it may be.
std::optional<ApiResponse> refusalOf(const config::ZoneDrainRequest& wanted, const ControllerServices& services) {
  if (!isZoneOrRegion(services.settings(), wanted.zone))
    return errorResponse(HttpStatus::bad_request, "no zone or region '" + wanted.zone + "'");
  // While the fleet is busier than the operator allows, a drain goes no further, unless it is forced.
  const double requestsPerS = services.requestsPerS();
  const bool busy = wanted.calmBelowPerS > 0 && requestsPerS > wanted.calmBelowPerS;
  if (busy && !wanted.force && drainsMore(wanted, services.replica().state().zoneDrains))
    return errorResponse(HttpStatus::conflict,
                         "live play: " + std::to_string(static_cast<int>(requestsPerS)) + " requests a second");
  if (wanted.notAccepting && wanted.drainPercent < kFullDrain)
    return errorResponse(HttpStatus::bad_request, "doors are shut only once all new work keeps away (share 100)");
  return std::nullopt;
}
ApiResponse setZoneDrain(const ApiCall& call, const ResponseDeadline& deadline) {
  auto& services = call.services;
  const auto wanted = config::parseZoneDrainRequest(call.request.body);
  if (!wanted)
    return errorResponse(wanted.error());
  if (auto refusal = refusalOf(*wanted, services))
    return *refusal;
  const state_machine::ZoneDrain drain{wanted->zone, wanted->note, wanted->drainPercent, wanted->notAccepting};
  auto entry = state_machine::zoneDrainEntry(drain, wanted->open, services.nextOperationId());
  if (auto written = services.write(std::move(entry), deadline.left()); !written)
    return errorResponse(written.error());
  return {HttpStatus::ok, services.zoneDrainsJson(), ""};
}
/// Refuses or redirects a call that this controller can't answer; none: it leads, and its replica is fresh.
std::optional<ApiResponse> unlessFreshLeader(const ApiCall& call, const ResponseDeadline& deadline) {
  if (!call.services.awaitContact(kContactTimeout))
    return noContactResponse();
  if (const auto leader = call.services.leaderControlAddress())
    return redirectTo(*leader, call.path);
  return unlessFresh(call.services, deadline);
}
}  // namespace

ApiResponse handleSetZoneDrain(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto response = unlessFreshLeader(call, deadline))
    return *response;
  return setZoneDrain(call, deadline);
}
ApiResponse handleListZoneDrains(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto response = unlessFreshLeader(call, deadline))
    return *response;
  return {HttpStatus::ok, call.services.zoneDrainsJson(), ""};
}
}  // namespace zinccleat::controller
