#include "access_desk.hpp"

namespace zc {
namespace {
constexpr auto kCountedFor = 30s;  // an access machine, since its last question
constexpr auto kLoadCounts = 5s;   // what it said of its load
}  // namespace

AccessDesk::AccessDesk(const CoreContext& core) : core_(core) {
  const auto& timers = core.settings.timers;
  const double windowS = std::chrono::duration<double>(timers.quotaWindow).count();
  quota_.bounds({timers.quotaExcess, timers.quotaSlack, windowS});
}
void AccessDesk::takeOver(Instant now) {
  quota_.takeOver(now);
  outliers_.takeOver(core_.raft->term());
}
void AccessDesk::weighRunners(Instant now) {
  outliers_.weigh(now, core_.copy.state().runners);
}
void AccessDesk::sweep(Instant now) {
  std::erase_if(loads_, [now](auto& load) { return now - load.second.at > kCountedFor; });
  nodesHeard_ = static_cast<std::int64_t>(loads_.size());
}
LeaseAnswer AccessDesk::onLeaseQuestion(Instant now, const std::string& agent, const LeaseQuestion& question) {
  const auto& raft = *core_.raft;
  LeaseAnswer answer;
  answer.question = question.question;
  answer.granted = raft.hasLease(now);
  answer.commitNumber = raft.commitNumber();
  answer.accessMachines = nodesHeard_;
  if (!question.load.empty())
    loads_[agent] = {question.load, now};
  if (!answer.granted)
    return answer;
  answer.grants = quota_.draw(now, agent, question.demand, question.holds, core_.configuration.get());
  outliers_.told(now, agent, question.attempts);
  // Changes only: who has the newest list is told no more.
  answer.outliersVersion = outliers_.version();
  if (question.outliersVersion != answer.outliersVersion)
    answer.outliers = outliers_.list();
  return answer;
}
QuotaDrawn AccessDesk::onDraw(Instant now, const QuotaDraw& draw) {
  QuotaDrawn answer;
  answer.question = draw.question;
  answer.granted = core_.raft->hasLease(now);
  // Why for nobody in particular: what waits is spent at once and belongs to no stash.
  if (answer.granted)
    answer.grants = quota_.draw(now, {}, draw.waiting, {}, core_.configuration.get());
  return answer;
}
double AccessDesk::requestsPerS(Instant now) const {
  double sum = 0;
  for (auto& [agent, load] : loads_)
    if (now - load.at < kLoadCounts)
      for (auto& place : load.places)
        if (place.label.empty())
          sum += place.rate;
  return sum;
}
AccessDesk::Progress AccessDesk::progressOf(const std::string& name, Instant now) const {
  Progress sum;
  for (auto& [agent, load] : loads_) {
    if (now - load.at >= kLoadCounts)
      continue;
    ++sum.nodesHeard;
    for (auto& place : load.places)
      if (place.label == name) {
        sum.atItsRunners += place.rate;
        sum.atItsProxies += place.burst;
      }
  }
  return sum;
}
}  // namespace zc
