#include "observations.hpp"

#include <sys/wait.h>

#include <csignal>

namespace zinccleat::soak {
namespace {
constexpr Duration kExitSlack{1000};   // a busy machine may delay the last handler of a process
constexpr Duration kMaxLinkTime{250};  // from exec until the program blocks its signals, on a busy machine
constexpr int kOk = 200;
constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr std::size_t kMinRequests = 50;

bool isSuccess(int status) {
  return status >= 200 && status < 300;
}
/// Whether a response status guarantees that the request was not executed and will not be.
bool guaranteesNotExecuted(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}
std::string formatMilliseconds(Duration duration) {
  return std::to_string(duration.count()) + " ms";
}

bool allHaveKey(const std::vector<const ConfigurationChange*>& changes, const std::string& key) {
  const auto has = [&key](const ConfigurationChange* change) { return change->keys.contains(key); };
  return !changes.empty() && std::all_of(changes.begin(), changes.end(), has);
}
bool noneHasKey(const std::vector<const ConfigurationChange*>& changes, const std::string& key) {
  const auto has = [&key](const ConfigurationChange* change) { return change->keys.contains(key); };
  return !changes.empty() && std::none_of(changes.begin(), changes.end(), has);
}

class Checker {
 public:
  explicit Checker(const Observations& observations) : observations_(observations) {}
  std::vector<Violation> check() {
    for (const auto& request : observations_.requests) {
      checkLoss(request);
      checkAnswer(request);
      checkExecutions(request);
      checkRoute(request);
      checkKey(request);
    }
    checkFinalVersion();
    for (const auto& exit : observations_.exits)
      checkExit(exit);
    checkMemory();
    checkServed();
    return std::move(violations_);
  }

 private:
  void report(const char* rule, std::string what) { violations_.push_back({rule, std::move(what)}); }
  const std::vector<Execution>& executionsOf(const ClientRequest& request) const {
    static const std::vector<Execution> kNone;
    const auto found = observations_.executions.find(request.attemptId);
    return found == observations_.executions.end() ? kNone : found->second;
  }
  /// What helps to tell a fault of the fleet from a stall of the run.
  std::string circumstances(const ClientRequest& request) const {
    const auto stalled = observations_.stalledBetween(request.sentAt, request.endedAt);
    auto text = "; the run stood still for " + formatMilliseconds(stalled) + " of it";
    if (const auto disturbed = observations_.lastDisturbanceBefore(request.machine, request.endedAt))
      text += ", the machine was disturbed " + formatMilliseconds(toDuration(request.endedAt - *disturbed)) +
              " before its end";
    return text;
  }
  static std::string describeRequest(const ClientRequest& request) {
    return "request " + request.attemptId + " at access " + std::to_string(request.machine);
  }

  void checkLoss(const ClientRequest& request) {
    if (request.end == RequestEnd::answered ||
        !observations_.hasNoUnplannedDisturbance(request.machine, request.sentAt, request.endedAt))
      return;
    const auto openFor = toDuration(request.endedAt - request.sentAt);
    const bool reachedRunner = !executionsOf(request).empty();
    if (request.end == RequestEnd::unanswered)
      report("LOST",
             describeRequest(request) + " has no answer after " + formatMilliseconds(openFor) + circumstances(request));
    else if (reachedRunner || openFor > observations_.bounds.lossSlack)
      report("LOST", describeRequest(request) + " ends without an answer after " + formatMilliseconds(openFor) +
                         (reachedRunner ? ", a runner had it" : "") + circumstances(request));
  }
  void checkAnswer(const ClientRequest& request) {
    if (request.end == RequestEnd::answered && isSuccess(request.status) && !request.bodyMatches)
      report("MIXED", describeRequest(request) + " got another answer than its runner's");
    const bool ran = !executionsOf(request).empty();
    if (request.end == RequestEnd::answered && request.kind != RequestKind::safe &&
        guaranteesNotExecuted(request.status) && ran)
      report("REFUSED", describeRequest(request) + " got " + std::to_string(request.status) + " and has run");
  }
  void checkExecutions(const ClientRequest& request) {
    const auto& executions = executionsOf(request);
    if (request.kind != RequestKind::safe && executions.size() > 1)
      report("TWICE", describeRequest(request) + " ran " + std::to_string(executions.size()) + " times");
    for (const auto& execution : executions) {
      checkDrain(request, execution);
      checkEvacuation(request, execution);
    }
  }
  void checkEvacuation(const ClientRequest& request, const Execution& execution) {
    const auto zone = observations_.runnerZones.find(execution.runner);
    if (zone == observations_.runnerZones.end() || !observations_.mustBeConnected(request.machine, execution.at))
      return;
    for (const auto& evacuation : observations_.evacuations) {
      const bool mustBeEffective = evacuation.zone == zone->second &&
                                   execution.at > evacuation.acknowledgedAt + observations_.bounds.evacuate &&
                                   (!evacuation.releasedAt || execution.at < *evacuation.releasedAt);
      if (mustBeEffective)
        report("EVAC",
               describeRequest(request) + " reached " + execution.runner + " in the evacuated zone " + zone->second);
    }
  }
  void checkDrain(const ClientRequest& request, const Execution& execution) {
    const auto left = observations_.departures.find(execution.runner);
    if (left == observations_.departures.end() || request.sentAt <= left->second + observations_.bounds.drain ||
        !observations_.mustBeConnected(request.machine, execution.at))
      return;
    report("DRAIN", describeRequest(request) + " reached " + execution.runner + " " +
                        formatMilliseconds(toDuration(execution.at - left->second)) + " after it had left");
  }
  /// Returns the changes whose configuration a connected machine may have used between `sent` and `ended`: the newest
  /// one that must be effective by then, and newer ones that were sent and not rejected. Empty if none must be
  /// effective yet.
  /// @param bound time from the acknowledgement of a change until it must be effective.
  std::vector<const ConfigurationChange*> possiblyEffectiveChanges(TimePoint sent, TimePoint ended,
                                                                   Duration bound) const {
    const ConfigurationChange* newestEffective = nullptr;
    for (const auto& change : observations_.changes) {
      const bool mustBeEffective = change.acknowledgedAt && *change.acknowledgedAt + bound < sent;
      if (mustBeEffective && (!newestEffective || change.version > newestEffective->version))
        newestEffective = &change;
    }
    std::vector<const ConfigurationChange*> possible;
    for (const auto& change : observations_.changes)
      if (&change == newestEffective || (!change.refused && change.sentAt <= ended &&
                                         (!newestEffective || change.version > newestEffective->version)))
        possible.push_back(&change);
    return newestEffective ? possible : std::vector<const ConfigurationChange*>{};
  }
  void checkRoute(const ClientRequest& request) {
    if (request.route.empty() || request.end != RequestEnd::answered ||
        !observations_.mustBeConnected(request.machine, request.endedAt))
      return;
    const auto possible = possiblyEffectiveChanges(request.sentAt, request.endedAt, observations_.bounds.configApply);
    const auto has = [&](const ConfigurationChange* change) { return change->routes.contains(request.route); };
    const bool inNone = !possible.empty() && std::none_of(possible.begin(), possible.end(), has);
    const bool inAll = !possible.empty() && std::all_of(possible.begin(), possible.end(), has);
    if (inAll && request.status == kNotFound)
      report("CONFIG", describeRequest(request) + " got 404 although " + request.route + " is there");
    if (inNone && isSuccess(request.status))
      report("CONFIG", describeRequest(request) + " was served although " + request.route + " was dropped");
  }
  void checkKey(const ClientRequest& request) {
    for (const auto& execution : executionsOf(request)) {
      if (execution.showsKey)
        report("UNASKED", describeRequest(request) + " showed its key to " + execution.runner);
      if (!request.accessKey.empty() && execution.subscriber != tenantOf(request.accessKey))
        report("UNASKED", describeRequest(request) + " with " + request.accessKey + " ran for the tenant '" +
                              execution.subscriber + "'");
    }
    if (!request.accessKey.empty())
      checkKeyIsValid(request);
  }
  void checkKeyIsValid(const ClientRequest& request) {
    const auto& key = request.accessKey;
    const bool ran = !executionsOf(request).empty();
    const auto& changes = observations_.changes;
    const bool wasEverSent =
        std::any_of(changes.begin(), changes.end(), [&key](const auto& change) { return change.keys.contains(key); });
    if (ran && !wasEverSent)
      return report("ROUTE", describeRequest(request) + " ran with " + key + " of no configuration");
    const auto& bounds = observations_.bounds;
    if (ran && noneHasKey(possiblyEffectiveChanges(request.sentAt, request.endedAt, bounds.revoke), key))
      report("CONFIG", describeRequest(request) + " ran with " + key + ", which was taken away");
    if (!observations_.mustBeConnected(request.machine, request.endedAt))
      return;
    const auto possible = possiblyEffectiveChanges(request.sentAt, request.endedAt, bounds.configApply);
    if (ran && noneHasKey(possible, key))
      report("CONFIG", describeRequest(request) + " ran at a connected machine with " + key + ", which was dropped");
    if (request.end == RequestEnd::answered && request.status == kUnauthorized && allHaveKey(possible, key))
      report("CONFIG", describeRequest(request) + " got 401 although " + key + " is there");
  }
  void checkFinalVersion() {
    std::int64_t acknowledged = 0;
    for (const auto& change : observations_.changes)
      if (change.acknowledgedAt)
        acknowledged = std::max(acknowledged, change.version);
    if (!observations_.finalVersion)
      report("CONFIG", "the configuration cannot be read back");
    else if (*observations_.finalVersion < acknowledged)
      report("CONFIG", "version " + std::to_string(acknowledged) + " was acknowledged, " +
                           std::to_string(*observations_.finalVersion) + " is read back");
  }
  void checkMemory() {
    for (const auto& [process, peak] : observations_.peakMemoryMb)
      if (const auto limit = observations_.memoryLimitMb.at(process); peak > limit)
        report("Fault", process + " used " + std::to_string(peak) + " MB of its " + std::to_string(limit));
  }
  void checkExit(const ProcessExit& exit) {
    if (exit.killed || endedBeforeProgram(exit))
      return;
    const bool orderly = WIFEXITED(exit.status) && WEXITSTATUS(exit.status) == 0;
    if (!exit.terminatedAt || !orderly)
      return report(
          "Fault",
          exit.name + " ended by itself, status " + std::to_string(exit.status) + ", " +
              formatMilliseconds(toDuration(exit.endedAt - exit.startedAt)) + " after its start" +
              (exit.terminatedAt ? ", SIGTERM " + formatMilliseconds(toDuration(exit.endedAt - *exit.terminatedAt)) +
                                       " before, masks then: " + exit.signalMasks
                                 : ", without SIGTERM"));
    const auto took = toDuration(exit.endedAt - *exit.terminatedAt);
    if (took > observations_.bounds.grace + kExitSlack)
      report("Fault", exit.name + " ended " + formatMilliseconds(took) + " after SIGTERM");
  }
  void checkServed() {
    const auto served =
        std::count_if(observations_.requests.begin(), observations_.requests.end(),
                      [](const auto& request) { return request.end == RequestEnd::answered && request.status == kOk; });
    if (observations_.requests.size() < kMinRequests ||
        2 * static_cast<std::size_t>(served) < observations_.requests.size())
      report("Fault",
             std::to_string(served) + " of " + std::to_string(observations_.requests.size()) + " requests served");
  }

  const Observations& observations_;
  std::vector<Violation> violations_;
};
}  // namespace

std::string tenantOf(const std::string& accessKey) {
  return "tenant-of-" + accessKey;
}
Duration Observations::stalledBetween(TimePoint from, TimePoint to) const {
  Duration sum{0};
  for (const auto& stall : ownStalls)
    sum += std::max(Duration(0), toDuration(std::min(stall.to, to) - std::max(stall.from, from)));
  return sum;
}
std::optional<TimePoint> Observations::lastDisturbanceBefore(int machine, TimePoint at) const {
  std::optional<TimePoint> last;
  for (const auto& disturbance : disturbances)
    if (disturbance.machine == machine && disturbance.at <= at)
      last = std::max(last.value_or(disturbance.at), disturbance.at);
  return last;
}
bool Observations::mustBeConnected(int machine, TimePoint at) const {
  return std::none_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& each) {
    const bool concerns = each.machine == Disturbance::kCore || each.machine == machine;
    return concerns && each.at <= at && at - each.at < bounds.contact;
  });
}
bool Observations::hasNoUnplannedDisturbance(int machine, TimePoint from, TimePoint to) const {
  return std::none_of(disturbances.begin(), disturbances.end(), [&](const Disturbance& each) {
    const bool concerns = each.machine == Disturbance::kCore || each.machine == machine;
    return concerns && !each.planned && each.at >= from - bounds.contact && each.at <= to;
  });
}
bool endedBeforeProgram(const ProcessExit& exit) {
  if (!WIFSIGNALED(exit.status) || !exit.signalledBeforeProgram)
    return false;
  const int signal = WTERMSIG(exit.status);
  const bool isLifecycleSignal = signal == SIGTERM || signal == SIGHUP || signal == SIGUSR1;
  return isLifecycleSignal && toDuration(exit.endedAt - exit.startedAt) < kMaxLinkTime;
}
std::vector<Violation> findViolations(const Observations& observations) {
  return Checker(observations).check();
}
}  // namespace zinccleat::soak
