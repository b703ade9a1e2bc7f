/// @file
/// Handlers of the runners' calls: heartbeats and detaching.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/control_requests.hpp"

namespace zinccleat::controller {
namespace {
using state_machine::Runner;
using state_machine::RunnerState;

bool hasSameDescription(const Runner& one, const Runner& other) {
  return one.address == other.address && one.service == other.service && one.capacity == other.capacity &&
         one.zone == other.zone && one.software.revision == other.software.revision;
}
Runner runnerOf(const config::RunnerHeartbeat& heartbeat) {
  Runner runner;
  runner.id = heartbeat.id;
  runner.service = heartbeat.service;
  runner.address = heartbeat.address;
  runner.zone = heartbeat.zone;
  runner.capacity = heartbeat.capacity;
  runner.sequence = heartbeat.sequence;
  runner.software = {heartbeat.revision, std::max<std::int64_t>(0, heartbeat.warmupLeft.count())};
  runner.state = static_cast<std::int32_t>(heartbeat.draining ? RunnerState::draining : RunnerState::inService);
  return runner;
}
/// Whether a heartbeat contains information that the replica lacks. A heartbeat that arrives out of order does not. A
/// runner that drains never returns to service.
bool updatesReplica(const Runner& reported, const ControllerServices& services) {
  const auto& replica = services.replica();
  if (replica.isDetached(reported.id))
    return false;
  const auto* known = replica.runner(reported.id);
  if (!known)
    return true;
  if (reported.sequence < known->sequence)
    return false;
  const bool stateChanges = reported.state != known->state && known->runnerState() != RunnerState::draining;
  return stateChanges || !hasSameDescription(reported, *known) || services.changesWarmup(reported);
}
/// Derives the operation id from the content, so that the same update received by two controllers is a single write.
std::string operationIdOf(const Runner& reported) {
  const char* state = reported.runnerState() == RunnerState::draining ? "draining" : "in";
  return "runner/" + reported.id + "/" + state + "/" + std::to_string(reported.sequence);
}
Runner detachedRunner(const std::string& id, const state_machine::ReplicatedState& replica) {
  const auto* known = replica.runner(id);
  Runner runner = known ? *known : Runner{};
  runner.id = id;
  runner.state = static_cast<std::int32_t>(RunnerState::detached);
  runner.sequence = std::max<std::int64_t>(1, runner.sequence);
  return runner;
}
/// Returns the URI of a controller in the runner's zone, so that heartbeats do not cross zones, or of this controller
/// if the zone has none.
std::string heartbeatUriFor(const std::string& zone, const ApiCall& call) {
  const auto nearby = call.services.controlAddressIn(zone);
  return nearby ? "http://" + *nearby : call.heartbeatUri;
}
}  // namespace

ApiResponse handleHeartbeat(const ApiCall& call) {
  const ResponseDeadline deadline;
  auto& services = call.services;
  const auto heartbeat = config::parseRunnerHeartbeat(call.subject, call.request.body);
  if (!heartbeat)
    return errorResponse(heartbeat.error());
  if (!services.inContact())
    return noContactResponse();
  if (!services.heartbeatsReachLeader())
    return errorResponse(HttpStatus::service_unavailable, "the leader does not answer");
  const auto reported = runnerOf(*heartbeat);
  // A late heartbeat is no sign of life: by it a runner that ended could join again, in place of the one that has got
  // its address. A drain is never late, because a runner that drains does not return to service.
  if (!heartbeat->draining && call.callerHasLeft())
    return errorResponse(callerLeftError());
  services.recordHeartbeat(reported.id);
  if (updatesReplica(reported, services)) {
    auto entry = state_machine::runnerEntry(reported, operationIdOf(reported));
    if (auto written = services.write(std::move(entry), deadline.left()); !written)
      return errorResponse(written.error());
  }
  return {HttpStatus::ok, "{\"heartbeatUri\":" + config::quoteJson(heartbeatUriFor(reported.zone, call)) + "}", ""};
}
ApiResponse handleDetach(const ApiCall& call) {
  const ResponseDeadline deadline;
  auto& services = call.services;
  const std::string id(call.subject);
  if (services.replica().isDetached(id))
    return {};
  if (!services.awaitContact(kContactTimeout))
    return noContactResponse();
  auto entry = state_machine::runnerEntry(detachedRunner(id, services.replica()), "runner/" + id + "/gone");
  if (auto written = services.write(std::move(entry), deadline.left()); !written)
    return errorResponse(written.error());
  return {};
}
}  // namespace zinccleat::controller
