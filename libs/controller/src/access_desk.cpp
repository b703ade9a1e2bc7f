#include "access_desk.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kCountedFor = 30s;  // an access machine, since its last question
constexpr auto kLoadCounts = 5s;   // what it said of its load
}  // namespace

AgentRequestHandler::AgentRequestHandler(const CoreContext& core) : core_(core) {
  const auto& timers = core.settings.timers;
  const double windowS = std::chrono::duration<double>(timers.quotaWindow).count();
  quota_.bounds({timers.quotaExcess, timers.quotaSlack, windowS});
}
void AgentRequestHandler::noOp(TimePoint now) {
  quota_.noOp(now);
  outliers_.noOp(core_.raft->term());
}
void AgentRequestHandler::evaluateRunners(TimePoint now) {
  outliers_.evaluate(now, core_.copy.state().runners);
}
void AgentRequestHandler::sweep(TimePoint now) {
  std::erase_if(loads_, [now](auto& load) { return now - load.second.at > kCountedFor; });
  nodesHeard_ = static_cast<std::int64_t>(loads_.size());
}
transport::LeaseResponse AgentRequestHandler::onLeaseQuestion(TimePoint now, const std::string& agent,
                                                              const transport::LeaseRequest& requestId) {
  const auto& raft = *core_.raft;
  transport::LeaseResponse answer;
  answer.requestId = requestId.requestId;
  answer.granted = raft.hasLease(now);
  answer.commitIndex = raft.commitIndex();
  answer.accessMachines = nodesHeard_;
  if (!requestId.load.empty())
    loads_[agent] = {requestId.load, now};
  if (!answer.granted)
    return answer;
  answer.grants = quota_.draw(now, agent, requestId.demand, requestId.holds, core_.configuration.get());
  outliers_.told(now, agent, requestId.attempts);
  // Changes only: who has the newest list is told no more.
  answer.outliersVersion = outliers_.version();
  if (requestId.outliersVersion != answer.outliersVersion)
    answer.outliers = outliers_.list();
  return answer;
}
transport::QuotaTokenResponse AgentRequestHandler::onDraw(TimePoint now, const transport::QuotaTokenRequest& draw) {
  transport::QuotaTokenResponse answer;
  answer.requestId = draw.requestId;
  answer.granted = core_.raft->hasLease(now);
  // Why for nobody in particular: what waits is spent at once and belongs to no stash.
  if (answer.granted)
    answer.grants = quota_.draw(now, {}, draw.waiting, {}, core_.configuration.get());
  return answer;
}
double AgentRequestHandler::requestsPerS(TimePoint now) const {
  double sum = 0;
  for (auto& [agent, load] : loads_)
    if (now - load.at < kLoadCounts)
      for (auto& place : load.places)
        if (place.zone.empty())
          sum += place.runnerRequests;
  return sum;
}
AgentRequestHandler::Progress AgentRequestHandler::progressOf(const std::string& name, TimePoint now) const {
  Progress sum;
  for (auto& [agent, load] : loads_) {
    if (now - load.at >= kLoadCounts)
      continue;
    ++sum.nodesHeard;
    for (auto& place : load.places)
      if (place.zone == name) {
        sum.atItsRunners += place.runnerRequests;
        sum.atItsProxies += place.proxyRequests;
      }
  }
  return sum;
}
}  // namespace zinccleat::controller
