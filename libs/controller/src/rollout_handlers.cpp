/// @file
/// Handlers of the operators' calls that begin, retrieve and revert rollouts.
#include "api_handlers.hpp"
#include "api_responses.hpp"
#include "config/configuration.hpp"
#include "config/control_requests.hpp"
#include "json_object.hpp"
#include "order_writer.hpp"

namespace zinccleat::controller {
namespace {
using state_machine::ReplicatedState;
using state_machine::Rollout;
using state_machine::RolloutPhase;

const char* nameOf(RolloutPhase phase) {
  switch (phase) {
    case RolloutPhase::canary:
      return "canary";
    case RolloutPhase::shifting:
      return "shifting";
    case RolloutPhase::completed:
      return "completed";
    case RolloutPhase::reverted:
      return "reverted";
  }
  return "";
}
std::string evidenceJson(const state_machine::RouteEvidence& evidence) {
  return JsonObject()
      .text("route", evidence.route)
      .number("baselineAnswered", evidence.baselineAnswered)
      .number("baselineFailed", evidence.baselineFailed)
      .number("baselineSlow", evidence.baselineSlow)
      .number("candidateAnswered", evidence.candidateAnswered)
      .number("candidateFailed", evidence.candidateFailed)
      .number("candidateSlow", evidence.candidateSlow)
      .json();
}
std::string rolloutJson(const Rollout& rollout) {
  std::vector<std::string> evidence;
  for (const auto& each : rollout.evidence)
    evidence.push_back(evidenceJson(each));
  const bool inProgress = rollout.inProgress();
  JsonObject json;
  json.text("state", inProgress ? "in_progress" : nameOf(rollout.phase()))
      .text("targetRevision", rollout.revision)
      .text("targetService", rollout.service)
      .text("phase", nameOf(rollout.phase()))
      .number("percent", rollout.loadTestGroup() > 0 ? 0 : rollout.percent)
      .number("elapsedMs", rollout.elapsedMs)
      .number("durationMs", rollout.durationMs)
      .text("reason", rollout.reason)
      .raw("evidence", jsonArray(evidence));
  if (rollout.loadTestGroup() > 0)
    json.number("loadTestGroup", rollout.loadTestGroup());
  return json.json();
}
bool isConfigured(const ControllerServices& services, const std::string& service) {
  const auto configuration = config::parseConfiguration(services.replica().state().configuration);
  if (!configuration)
    return false;
  const auto& known = (*configuration)->services;
  return std::any_of(known.begin(), known.end(), [&](const auto& each) { return each.label == service; });
}
ApiResponse responseTo(const Result<ReplicatedState::Verdict>& outcome) {
  if (!outcome)
    return errorResponse(outcome.error());
  if (*outcome == ReplicatedState::Verdict::acknowledged)
    return {HttpStatus::ok, "{}", ""};
  return errorResponse(HttpStatus::conflict, "another rollout of this service is in progress, or it is over");
}
/// Builds the entry that reverts a rollout. The entry has no effect if another rollout of the service has begun since.
transport::LogEntry revertEntry(const ControllerServices& services, const Rollout& ordered) {
  const auto* known = services.replica().rollout(ordered.service);
  Rollout reverted = known && known->isSameRollout(ordered) ? *known : ordered;
  reverted.setPhase(RolloutPhase::reverted);
  reverted.reason = "an operator took it back";
  return state_machine::rolloutProgressEntry(reverted, "");
}
}  // namespace

ApiResponse handleBeginRollout(const ApiCall& call) {
  const ResponseDeadline deadline;
  auto& services = call.services;
  const auto request = config::parseRolloutRequest(call.request.body);
  if (!request)
    return errorResponse(request.error());
  Rollout ordered;
  ordered.service = request->service;
  ordered.revision = request->revision;
  ordered.durationMs = request->duration.count();
  // This replica may lag, but an order that was accepted stays accepted.
  const auto* known = services.replica().rollout(ordered.service);
  if (known && known->isSameRollout(ordered))
    return {HttpStatus::ok, "{}", ""};
  if (!isConfigured(services, ordered.service)) {
    if (auto response = errorUnlessFresh(call.services, deadline))
      return *response;
    if (!isConfigured(services, ordered.service))
      return errorResponse(HttpStatus::not_found, "no service '" + ordered.service + "'");
  }
  if (!services.awaitContact(kContactTimeout))
    return noContactResponse();
  return responseTo(writeOrder(call, deadline, [&] { return state_machine::rolloutBeginEntry(ordered, ""); }));
}
ApiResponse handleRetrieveRollout(const ApiCall& call) {
  const ResponseDeadline deadline;
  if (auto response = errorUnlessFresh(call.services, deadline))
    return *response;
  const auto* rollout = call.services.replica().rollout(call.subject);
  if (!rollout)
    return errorResponse(HttpStatus::not_found, "no rollout of this service");
  return {HttpStatus::ok, rolloutJson(*rollout), ""};
}
ApiResponse handleRevertRollout(const ApiCall& call) {
  const ResponseDeadline deadline;
  const auto service = config::parseRolloutRevertRequest(call.request.body);
  if (!service)
    return errorResponse(service.error());
  if (auto response = errorUnlessFresh(call.services, deadline))
    return *response;
  const auto* known = call.services.replica().rollout(*service);
  if (!known)
    return errorResponse(HttpStatus::not_found, "no rollout of this service");
  const Rollout ordered = *known;
  return responseTo(writeOrder(call, deadline, [&] { return revertEntry(call.services, ordered); }));
}
}  // namespace zinccleat::controller
