#include "agent_request_handler.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kMachineLifetime = 30s;  // an access machine counts as active for this long after its last lease request
constexpr auto kLoadLifetime = 5s;      // a load report is used for this long
}  // namespace

AgentRequestHandler::AgentRequestHandler(const ControllerContext& context)
    : context_(context),
      rollouts_(context.settings.timers.exposureShare, context.settings.timers.exposureSlack),
      warmups_({context.settings.timers.warmupExcess, context.settings.timers.warmupSlack}, context.settings.zones) {
  const auto& timers = context.settings.timers;
  const double windowS = std::chrono::duration<double>(timers.quotaWindow).count();
  quota_.setBounds({.excess = timers.quotaExcess, .slack = timers.quotaSlack, .windowS = windowS});
}
void AgentRequestHandler::startTerm(TimePoint now) {
  quota_.startTerm(now);
  outliers_.startTerm(context_.raft->term());
  rollouts_.follow(now, context_.replica.state());
  rollouts_.startTerm();
  warmups_.startTerm(now);
}
void AgentRequestHandler::evaluateRunners(TimePoint now) {
  outliers_.evaluate(now, context_.replica.state().runners);
}
void AgentRequestHandler::expireSilentMachines(TimePoint now) {
  std::erase_if(loads_, [now](const auto& load) { return now - load.second.reportedAt > kMachineLifetime; });
  accessMachines_ = static_cast<std::int64_t>(loads_.size());
}
transport::LeaseResponse AgentRequestHandler::onLeaseRequest(TimePoint now, const std::string& agent,
                                                             const transport::LeaseRequest& request) {
  transport::LeaseResponse response;
  response.requestId = request.requestId;
  response.granted = context_.raft->hasLease(now);
  response.commitIndex = context_.raft->commitIndex();
  response.accessMachines = accessMachines_;
  if (!request.load.empty())
    loads_[agent] = {request.load, now};
  if (!response.granted)
    return response;
  response.grants = quota_.allocate(now, agent, request.demand, request.holds, context_.configuration.get());
  outliers_.report(now, agent, request.attempts);
  for (const auto& report : request.extension.rollouts)
    if (auto grant = rollouts_.report(now, agent, report))
      response.extension.exposures.push_back(std::move(*grant));
  if (const auto& zone = request.extension.extension.warmupZone; !zone.empty())
    response.extension.extension.warmups = warmups_.allocate(now, zone);
  // The ejection list is sent only to agents that hold an older version of it.
  response.outliersVersion = outliers_.version();
  if (request.outliersVersion != response.outliersVersion)
    response.outliers = outliers_.ejections();
  return response;
}
transport::QuotaTokenResponse AgentRequestHandler::onQuotaTokenRequest(TimePoint now,
                                                                       const transport::QuotaTokenRequest& request) {
  transport::QuotaTokenResponse response;
  response.requestId = request.requestId;
  response.granted = context_.raft->hasLease(now);
  // No holder is named: tokens for waiting requests are spent at once and do not enter a local reserve.
  if (response.granted)
    response.grants = quota_.allocate(now, {}, request.waiting, {}, context_.configuration.get());
  return response;
}
double AgentRequestHandler::requestsPerS(TimePoint now) const {
  double sum = 0;
  for (const auto& [agent, load] : loads_) {
    if (now - load.reportedAt >= kLoadLifetime)
      continue;
    // The record without a zone holds the proxy's own request rate.
    for (const auto& zone : load.zones)
      if (zone.zone.empty())
        sum += zone.runnerRequests;
  }
  return sum;
}
ZoneDrainProgress AgentRequestHandler::drainProgressOf(const std::string& zone, TimePoint now) const {
  ZoneDrainProgress progress;
  for (const auto& [agent, load] : loads_) {
    if (now - load.reportedAt >= kLoadLifetime)
      continue;
    ++progress.reportingProxies;
    for (const auto& reported : load.zones) {
      if (reported.zone != zone)
        continue;
      progress.runnerRequests += reported.runnerRequests;
      progress.proxyRequests += reported.proxyRequests;
    }
  }
  return progress;
}
}  // namespace zinccleat::controller
