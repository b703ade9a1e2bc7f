#include "rollout/rollout_plan.hpp"

#include <array>

namespace zinccleat::rollout {
namespace {
using state_machine::Rollout;
using state_machine::RolloutPhase;

// Parts of the term.
constexpr double kLoadTestStartFraction = 0.28;  // the load test begins here
constexpr double kLoadTestGroupFraction = 0.14;  // each of its groups is loaded for so long
constexpr double kCanaryEndFraction = 0.55;      // at the earliest, the canary ends here
constexpr double kLateShiftFraction = 0.72;      // a candidate that few requests have met is shifted to from here on
constexpr double kFirstStepFraction = 0.1;  // the first step of the shift is observed for so long: its runners fill up
constexpr double kStepFraction = 0.03;      // each step of the shift is observed for so long
constexpr double kForcedCompletionFraction = 0.88;   // the old runners are waited for until here
constexpr double kSuspicionHoldFraction = 0.8;       // a suspicion alone holds the shift up until here
constexpr double kForcedDecisionFraction = 0.94;     // a candidate that could not be tested is reverted
constexpr Duration kMinStepDuration{400};            // a report and a round through the log
constexpr Duration kMinFullTrafficObservation{800};  // of the full traffic, before completion
constexpr std::array<std::int32_t, 3> kShiftPercents{25, 50, 100};
constexpr std::int32_t kFullPercent = 100;
constexpr double kSpentExposureFraction = 0.4;  // of the allowed exposure; answers are counted late
// Where few requests come, late in the term: so many answers of the candidate, and fewer bad ones than this.
constexpr double kMinAnswersLate = 8;
constexpr double kMinBadAnswersLate = 2;
constexpr double kMinCapacityFraction = 0.5;  // of the baseline's; with less the candidate can't carry the traffic

Duration fractionOfTerm(const Rollout& rollout, double part) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(rollout.durationMs) * part));
}
Step revert(std::string reason) {
  return {RolloutPhase::reverted, 0, std::move(reason)};
}
std::string describe(const Fault& fault) {
  const auto number = [](double value) { return std::to_string(static_cast<std::int64_t>(value)); };
  const auto counts = number(fault.candidate.bad) + " of " + number(fault.candidate.total);
  if (fault.kind == Fault::Kind::runnersFail)
    return counts + " runners faulty";
  return counts + " answers " + (fault.kind == Fault::Kind::answersAreSlow ? "slow" : "failed") +
         (fault.stratum.empty() ? "" : " on route " + fault.stratum);
}
// A leader that comes late into the load test plays the groups that are left for a shorter time each.
std::optional<Step> nextLoadTestGroup(const Rollout& rollout, Duration elapsed, Duration sinceStep) {
  const auto group = rollout.loadTestGroup();
  if (group >= kLoadTestGroups ||
      elapsed < fractionOfTerm(rollout, kLoadTestStartFraction + kLoadTestGroupFraction * group))
    return std::nullopt;
  if (group > 0 && sinceStep < kMinStepDuration)
    return std::nullopt;
  return Step{RolloutPhase::canary, group + 1, "load test"};
}
std::optional<Step> nextCanaryStep(const Rollout& rollout, const EvidenceLedger& evidence, const FleetView& fleet,
                                   Duration elapsed, Duration sinceStep) {
  const bool hasEnoughCapacity =
      fleet.candidateCapacity > 0 && fleet.candidateCapacity >= fleet.baselineCapacity * kMinCapacityFraction;
  if (elapsed >= fractionOfTerm(rollout, kForcedDecisionFraction))
    return revert(!hasEnoughCapacity ? "too few runners of this revision" : "too few answers to decide");
  const bool suspicious = evidence.isSuspicious();
  // The group that raised a suspicion goes on being loaded.
  if (!suspicious || rollout.loadTestGroup() == 0)
    if (auto step = nextLoadTestGroup(rollout, elapsed, sinceStep))
      return step;
  if (elapsed < fractionOfTerm(rollout, kCanaryEndFraction) || sinceStep < kMinStepDuration ||
      rollout.loadTestGroup() < kLoadTestGroups)
    return std::nullopt;
  const bool late = elapsed >= fractionOfTerm(rollout, kLateShiftFraction);
  const bool cleared =
      evidence.isCleared(late ? EvidenceLedger::Clearing::byRoute : EvidenceLedger::Clearing::byStratum);
  const bool tested = cleared || (late && evidence.candidateAnswers() >= kMinAnswersLate &&
                                  evidence.candidateBadAnswers() < kMinBadAnswersLate);
  if (!hasEnoughCapacity || !tested || suspicious)
    return std::nullopt;
  return Step{RolloutPhase::shifting, kShiftPercents.front(), "the canary showed no fault"};
}
std::int32_t nextPercent(std::int32_t percent) {
  const auto next =
      std::find_if(kShiftPercents.begin(), kShiftPercents.end(), [&](auto each) { return each > percent; });
  return next == kShiftPercents.end() ? kFullPercent : *next;
}
// A suspicion that many good answers outweigh holds a rollout up no longer once the term is nearly over.
bool mayProceed(const Rollout& rollout, const EvidenceLedger& evidence, Duration elapsed) {
  return !evidence.isSuspicious() || (elapsed >= fractionOfTerm(rollout, kSuspicionHoldFraction) &&
                                      evidence.isCleared(EvidenceLedger::Clearing::byRoute));
}
Step complete() {
  return {RolloutPhase::completed, kFullPercent, "all traffic goes to the candidate without a fault"};
}
std::optional<Step> nextShiftStep(const Rollout& rollout, const EvidenceLedger& evidence, const FleetView& fleet,
                                  Duration elapsed, Duration sinceStep) {
  // Waiting for a proof costs a part of all requests.
  if (evidence.isSuspicious(EvidenceLedger::Suspicion::strong) &&
      evidence.candidateAnswers() >= fleet.allowedExposure * kSpentExposureFraction)
    return revert("a suspicion, and most of the exposure is spent");
  if (elapsed >= fractionOfTerm(rollout, kForcedDecisionFraction))
    return mayProceed(rollout, evidence, elapsed) ? complete()
                                                  : revert("the term is nearly over, and there is a suspicion");
  if (!mayProceed(rollout, evidence, elapsed))
    return std::nullopt;
  if (rollout.percent < kFullPercent) {
    const bool isFirst =
        rollout.percent == kShiftPercents.front() && elapsed < fractionOfTerm(rollout, kLateShiftFraction);
    const double part = isFirst ? kFirstStepFraction : kStepFraction;
    const bool observed = sinceStep >= std::max(kMinStepDuration, fractionOfTerm(rollout, part));
    return observed ? std::optional(Step{RolloutPhase::shifting, nextPercent(rollout.percent), rollout.reason})
                    : std::nullopt;
  }
  const bool observed = sinceStep >= kMinFullTrafficObservation;
  const bool idle = fleet.baselineIsIdle || elapsed >= fractionOfTerm(rollout, kForcedCompletionFraction);
  return observed && idle ? std::optional(complete()) : std::nullopt;
}
}  // namespace

std::optional<Step> nextStep(const Rollout& rollout, const EvidenceLedger& evidence, const FleetView& fleet,
                             Duration elapsed, Duration sinceStep) {
  if (!rollout.inProgress())
    return std::nullopt;
  if (const auto fault = evidence.findFault())
    return revert(describe(*fault));
  if (rollout.phase() == RolloutPhase::canary)
    return nextCanaryStep(rollout, evidence, fleet, elapsed, sinceStep);
  return nextShiftStep(rollout, evidence, fleet, elapsed, sinceStep);
}
}  // namespace zinccleat::rollout
