#include "observations.hpp"

#include <sys/wait.h>

namespace zinccleat::soak {
namespace {
constexpr Duration kExitSlack{1000};  // a busy machine may delay the last handler of a process
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr std::size_t kMinRequests = 50;

bool isSuccess(int status) {
  return status >= 200 && status < 300;
}
/// Whether a response status guarantees that the request was not executed and will not be.
bool promisesNotRun(int status) {
  return status == 408 || status == 421 || status == 429 || status == 503;
}
std::string millisecondsText(Duration duration) {
  return std::to_string(duration.count()) + " ms";
}

class Checker {
 public:
  explicit Checker(const Observations& seen) : seen_(seen) {}
  std::vector<Violation> check() {
    for (const auto& request : seen_.requests) {
      checkLoss(request);
      checkAnswer(request);
      checkExecutions(request);
      checkRoute(request);
    }
    checkFinalVersion();
    for (const auto& exit : seen_.exits)
      checkExit(exit);
    checkServed();
    return std::move(violations_);
  }

 private:
  void report(const char* rule, std::string what) { violations_.push_back({rule, std::move(what)}); }
  const std::vector<Execution>& executionsOf(const ClientRequest& request) const {
    static const std::vector<Execution> kNone;
    const auto found = seen_.executions.find(request.attemptId);
    return found == seen_.executions.end() ? kNone : found->second;
  }
  static std::string nameOf(const ClientRequest& request) {
    return "request " + request.attemptId + " at access " + std::to_string(request.machine);
  }

  void checkLoss(const ClientRequest& request) {
    if (request.end == RequestEnd::answered ||
        !seen_.hasNoUnplannedDisturbance(request.machine, request.sentAt, request.endedAt))
      return;
    const auto openFor = toDuration(request.endedAt - request.sentAt);
    const bool passedOn = !executionsOf(request).empty();
    if (request.end == RequestEnd::unanswered)
      report("LOST", nameOf(request) + " has no answer after " + millisecondsText(openFor));
    else if (passedOn || openFor > seen_.bounds.lossSlack)
      report("LOST", nameOf(request) + " ends without an answer after " + millisecondsText(openFor) +
                         (passedOn ? ", a runner had it" : ""));
  }
  void checkAnswer(const ClientRequest& request) {
    if (request.end == RequestEnd::answered && isSuccess(request.status) && !request.bodyMatches)
      report("MIXED", nameOf(request) + " got another answer than its runner's");
    const bool ran = !executionsOf(request).empty();
    if (request.end == RequestEnd::answered && request.kind != RequestKind::safe && promisesNotRun(request.status) &&
        ran)
      report("REFUSED", nameOf(request) + " got " + std::to_string(request.status) + " and has run");
  }
  void checkExecutions(const ClientRequest& request) {
    const auto& executions = executionsOf(request);
    if (request.kind != RequestKind::safe && executions.size() > 1)
      report("TWICE", nameOf(request) + " ran " + std::to_string(executions.size()) + " times");
    for (const auto& execution : executions) {
      checkDrain(request, execution);
      checkEvacuation(request, execution);
    }
  }
  void checkEvacuation(const ClientRequest& request, const Execution& execution) {
    const auto zone = seen_.runnerZones.find(execution.runner);
    if (zone == seen_.runnerZones.end() || !seen_.mustBeConnected(request.machine, execution.at))
      return;
    for (const auto& evacuation : seen_.evacuations) {
      const bool binds = evacuation.zone == zone->second &&
                         execution.at > evacuation.acknowledgedAt + seen_.bounds.evacuate &&
                         (!evacuation.releasedAt || execution.at < *evacuation.releasedAt);
      if (binds)
        report("EVAC", nameOf(request) + " reached " + execution.runner + " in the evacuated zone " + zone->second);
    }
  }
  void checkDrain(const ClientRequest& request, const Execution& execution) {
    const auto left = seen_.departures.find(execution.runner);
    if (left == seen_.departures.end() || request.sentAt <= left->second + seen_.bounds.drain ||
        !seen_.mustBeConnected(request.machine, execution.at))
      return;
    report("DRAIN", nameOf(request) + " reached " + execution.runner + " " +
                        millisecondsText(toDuration(execution.at - left->second)) + " after it had left");
  }
  /// Returns the changes whose configuration a connected machine may have used between `sent` and `ended`: the newest
  /// one that must be effective by then, and newer ones that were sent and not rejected. Empty if none must be
  /// effective yet.
  std::vector<const Change*> possibleAt(TimePoint sent, TimePoint ended) const {
    const Change* binding = nullptr;
    for (const auto& change : seen_.changes) {
      const bool binds = change.acknowledgedAt && *change.acknowledgedAt + seen_.bounds.configApply < sent;
      if (binds && (!binding || change.version > binding->version))
        binding = &change;
    }
    std::vector<const Change*> possible;
    for (const auto& change : seen_.changes)
      if (&change == binding ||
          (!change.refused && change.sentAt <= ended && (!binding || change.version > binding->version)))
        possible.push_back(&change);
    return binding ? possible : std::vector<const Change*>{};
  }
  void checkRoute(const ClientRequest& request) {
    if (request.route.empty() || request.end != RequestEnd::answered ||
        !seen_.mustBeConnected(request.machine, request.endedAt))
      return;
    const auto possible = possibleAt(request.sentAt, request.endedAt);
    const auto has = [&](const Change* change) { return change->routes.contains(request.route); };
    const bool inNone = !possible.empty() && std::none_of(possible.begin(), possible.end(), has);
    const bool inAll = !possible.empty() && std::all_of(possible.begin(), possible.end(), has);
    if (inAll && request.status == kNotFound)
      report("CONFIG", nameOf(request) + " got 404 although " + request.route + " is there");
    if (inNone && isSuccess(request.status))
      report("CONFIG", nameOf(request) + " was served although " + request.route + " was dropped");
  }
  void checkFinalVersion() {
    std::int64_t acknowledged = 0;
    for (const auto& change : seen_.changes)
      if (change.acknowledgedAt)
        acknowledged = std::max(acknowledged, change.version);
    if (!seen_.finalVersion)
      report("CONFIG", "the configuration cannot be read back");
    else if (*seen_.finalVersion < acknowledged)
      report("CONFIG", "version " + std::to_string(acknowledged) + " was acknowledged, " +
                           std::to_string(*seen_.finalVersion) + " is read back");
  }
  void checkExit(const ProcessExit& exit) {
    if (exit.killed)
      return;
    const bool orderly = WIFEXITED(exit.status) && WEXITSTATUS(exit.status) == 0;
    if (!exit.terminatedAt || !orderly)
      return report("Fault", exit.name + " ended by itself, status " + std::to_string(exit.status) + ", " +
                                 millisecondsText(toDuration(exit.endedAt - exit.startedAt)) + " after its start" +
                                 (exit.terminatedAt
                                      ? ", SIGTERM " + millisecondsText(toDuration(exit.endedAt - *exit.terminatedAt)) +
                                            " before, masks then: " + exit.signalMasks
                                      : ", without SIGTERM"));
    const auto took = toDuration(exit.endedAt - *exit.terminatedAt);
    if (took > seen_.bounds.grace + kExitSlack)
      report("Fault", exit.name + " ended " + millisecondsText(took) + " after SIGTERM");
  }
  void checkServed() {
    const auto served = std::count_if(seen_.requests.begin(), seen_.requests.end(), [](const auto& request) {
      return request.end == RequestEnd::answered && request.status == kOk;
    });
    if (seen_.requests.size() < kMinRequests || 2 * static_cast<std::size_t>(served) < seen_.requests.size())
      report("Fault", std::to_string(served) + " of " + std::to_string(seen_.requests.size()) + " requests served");
  }

  const Observations& seen_;
  std::vector<Violation> violations_;
};
}  // namespace

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
std::vector<Violation> findViolations(const Observations& seen) {
  return Checker(seen).check();
}
}  // namespace zinccleat::soak
