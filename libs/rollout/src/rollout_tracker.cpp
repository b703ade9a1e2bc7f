#include "rollout/rollout_tracker.hpp"

#include <cmath>

#include "rollout/exposure.hpp"

namespace zinccleat::rollout {
namespace {
using state_machine::Rollout;
using state_machine::RolloutPhase;

constexpr auto kProxyReportTimeout = 1500ms;  // completion does not wait for a proxy without a report for this time
constexpr auto kCheckpointInterval = 2000ms;  // between two records of the same step of a rollout
constexpr std::int32_t kFullPercent = 100;
constexpr double kMaxRequestsPerReport = 1e5;
constexpr double kSlackFraction = 0.8;  // of the exposure slack; granted for the load test

Rollout recordOf(const Rollout& rollout, const EvidenceLedger& evidence, Duration elapsed) {
  auto record = rollout;
  record.elapsedMs = std::max<std::int64_t>(record.elapsedMs, elapsed.count());
  record.evidence = evidence.summary();
  return record;
}
bool isInService(const state_machine::Runner& runner, const Rollout& rollout) {
  return runner.service == rollout.service && runner.runnerState() == state_machine::RunnerState::inService;
}
std::size_t countCandidateRunners(const Rollout& rollout, const state_machine::StateContents& state) {
  return static_cast<std::size_t>(std::count_if(state.runners.begin(), state.runners.end(), [&](const auto& runner) {
    return isInService(runner, rollout) && runner.software.revision == rollout.revision;
  }));
}
double ejectedBaselineFraction(const Rollout& rollout, const state_machine::StateContents& state,
                               const std::vector<transport::RunnerEjection>& ejections) {
  double runners = 0;
  double ejected = 0;
  for (const auto& runner : state.runners) {
    if (!isInService(runner, rollout) || runner.software.revision == rollout.revision)
      continue;
    runners += 1;
    const auto isEjectionOfRunner = [&](const auto& ejection) { return ejection.runner == runner.id; };
    ejected += std::any_of(ejections.begin(), ejections.end(), isEjectionOfRunner) ? 1 : 0;
  }
  return runners > 0 ? ejected / runners : 0;
}
}  // namespace

void RolloutTracker::follow(TimePoint now, const state_machine::StateContents& state) {
  std::vector<TrackedRollout> tracked;
  for (const auto& rollout : state.rollouts) {
    if (!rollout.inProgress())
      continue;
    auto* known = find(rollout.service);
    if (known && known->rollout.isSameRollout(rollout)) {
      const bool stepped = known->rollout.phase() != rollout.phase() || known->rollout.percent != rollout.percent;
      known->steppedAt = stepped ? now : known->steppedAt;
      known->startedAt = std::min(known->startedAt, now - Duration(rollout.elapsedMs));
      known->rollout = rollout;
      tracked.push_back(std::move(*known));
      continue;
    }
    tracked.push_back({rollout,
                       now - Duration(rollout.elapsedMs),
                       now,
                       now,
                       EvidenceLedger(rollout.evidence),
                       false,
                       0,
                       0,
                       false,
                       {},
                       0});
  }
  for (auto& each : tracked)
    each.candidateRunners = countCandidateRunners(each.rollout, state);
  tracked_ = std::move(tracked);
}
void RolloutTracker::startTerm() {
  for (auto& each : tracked_) {
    each.evidence = EvidenceLedger(each.rollout.evidence);
    each.unspentTokens = each.dueTokens = 0;
    each.proxies.clear();
  }
}
std::optional<transport::ExposureGrant> RolloutTracker::report(TimePoint now, const std::string& proxy,
                                                               const transport::RolloutReport& report) {
  auto* tracked = find(report.service);
  if (!tracked || tracked->rollout.revision != report.revision)
    return std::nullopt;
  const auto known = tracked->proxies.find(proxy);
  const auto previousReport = known == tracked->proxies.end() ? std::nullopt : std::optional(known->second.reportedAt);
  tracked->evidence.report(now, previousReport, report.answers);
  tracked->proxies[proxy] = {report.percent, report.baselineInFlight, now};
  transport::ExposureGrant grant{report.service, report.revision, 0};
  if (tracked->rollout.phase() == RolloutPhase::canary)
    grant.tokens = grantTokens(*tracked, std::clamp(report.requests, 0.0, kMaxRequestsPerReport));
  return grant;
}
// Each request is reported once and yields a fraction of a token. So the sum of all grants stays below the share of all
// requests, also across changes of the leader. Most tokens are saved for the load test. Only whole tokens are granted:
// if each proxy has few requests, fractions would remain unused at each proxy until they add up to a token.
double RolloutTracker::grantTokens(TrackedRollout& tracked, double requests) const {
  const auto exposure = exposureLimits(exposureShare_, tracked.candidateRunners);
  tracked.unspentTokens += requests * exposure.allowed;
  const double part = tracked.rollout.loadTestGroup() > 0 ? exposure.loadTest : exposure.canary;
  tracked.dueTokens += requests * (tracked.suspicious ? part / 2 : part);
  const double tokens = std::floor(std::min(tracked.unspentTokens, tracked.dueTokens));
  tracked.unspentTokens -= tokens;
  // Due tokens that exceed the unspent tokens are dropped, so that they do not cause a burst later.
  tracked.dueTokens = std::min(tracked.dueTokens - tokens, 1.0);
  return tokens;
}
std::vector<Rollout> RolloutTracker::decide(TimePoint now, const state_machine::StateContents& state,
                                            const std::vector<transport::RunnerEjection>& ejections) {
  std::vector<Rollout> records;
  for (auto& each : tracked_) {
    const auto elapsed = toDuration(now - each.startedAt);
    each.evidence.setEjectedBaselineFraction(ejectedBaselineFraction(each.rollout, state, ejections));
    each.suspicious = each.evidence.isSuspicious();
    const auto step =
        nextStep(each.rollout, each.evidence, fleetView(now, each, state), elapsed, toDuration(now - each.steppedAt));
    const bool checkpointDue = now - each.writtenAt >= kCheckpointInterval;
    if (!step && !checkpointDue)
      continue;
    auto record = recordOf(each.rollout, each.evidence, elapsed);
    if (step) {
      record.setPhase(step->phase);
      record.percent = step->percent;
      record.reason = step->reason;
      // The slack is added once per rollout: only the leader that takes the step to the first group of the load test
      // adds it, and `slackGranted` prevents a second addition while the record of the step is not committed yet.
      if (each.rollout.phase() == RolloutPhase::canary && each.rollout.loadTestGroup() == 0 && !each.slackGranted)
        each.unspentTokens += kSlackFraction * exposureSlack_;
      each.slackGranted = true;
    }
    each.writtenAt = now;
    records.push_back(std::move(record));
  }
  return records;
}
RolloutTracker::TrackedRollout* RolloutTracker::find(const std::string& service) {
  const auto found = std::find_if(tracked_.begin(), tracked_.end(),
                                  [&](const TrackedRollout& each) { return each.rollout.service == service; });
  return found == tracked_.end() ? nullptr : &*found;
}
FleetView RolloutTracker::fleetView(TimePoint now, const TrackedRollout& tracked,
                                    const state_machine::StateContents& state) const {
  FleetView view;
  const auto elapsed = std::max(1ms, toDuration(now - tracked.startedAt));
  const double part = static_cast<double>(elapsed.count()) / static_cast<double>(tracked.rollout.durationMs);
  view.allowedCandidateRequests = exposureShare_ * tracked.evidence.allAnswers() / std::min(1.0, part) + exposureSlack_;
  for (const auto& runner : state.runners) {
    if (!isInService(runner, tracked.rollout))
      continue;
    auto& capacity =
        runner.software.revision == tracked.rollout.revision ? view.candidateCapacity : view.baselineCapacity;
    capacity += static_cast<double>(std::max<std::int64_t>(1, runner.capacity));
  }
  view.baselineIsIdle = baselineIsIdle(now, tracked);
  return view;
}
bool RolloutTracker::baselineIsIdle(TimePoint now, const TrackedRollout& tracked) {
  bool anyProxyReported = false;
  for (const auto& [proxy, state] : tracked.proxies) {
    if (now - state.reportedAt > kProxyReportTimeout)
      continue;
    anyProxyReported = true;
    if (state.percent < kFullPercent || state.baselineInFlight > 0)
      return false;
  }
  return anyProxyReported;
}
}  // namespace zinccleat::rollout
