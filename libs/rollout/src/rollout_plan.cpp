#include "rollout/rollout_plan.hpp"

#include <array>

namespace zinccleat::rollout {
namespace {
using state_machine::Rollout;
using state_machine::RolloutPhase;

// Times as fractions of the term.
constexpr double kLoadTestStartFraction = 0.28;  // start of the load test
constexpr double kLoadTestGroupFraction = 0.14;  // duration of the load test of one group
constexpr double kCanaryEndFraction = 0.55;      // earliest end of the canary phase
// From here on, a candidate with few answers may enter the shift phase with weaker evidence, and the first step of the
// shift is observed no longer than the other steps.
constexpr double kLateShiftFraction = 0.72;
// Observation time of the first step of the shift, which is longer because the candidate's runners are still filling
// up.
constexpr double kFirstStepFraction = 0.1;
constexpr double kStepFraction = 0.03;              // observation time of each further step of the shift
constexpr double kForcedCompletionFraction = 0.88;  // completion no longer waits for attempts at the baseline
constexpr double kSuspicionHoldFraction = 0.8;      // a cleared candidate is no longer delayed by a suspicion
constexpr double kForcedDecisionFraction = 0.94;    // an undecided rollout is reverted or completed
// Minimum duration of a step: the interval of one report and the time to commit a log entry.
constexpr Duration kMinStepDuration{400};
constexpr Duration kMinFullTrafficObservation{800};  // with all traffic at the candidate, before completion
constexpr std::array<std::int32_t, 3> kShiftPercents{25, 50, 100};
constexpr std::int32_t kFullPercent = 100;
// Fraction of the allowed exposure at which a strong suspicion reverts. It is low because answers are counted late.
constexpr double kSpentExposureFraction = 0.4;
// Late in the term, a candidate with at least this many answers and fewer bad ones may enter the shift phase. This rule
// is for services with few requests.
constexpr double kMinAnswersLate = 8;
constexpr double kMinBadAnswersLate = 2;
// Fraction of the baseline's capacity below which the candidate cannot serve the traffic.
constexpr double kMinCapacityFraction = 0.5;

Duration fractionOfTerm(const Rollout& rollout, double part) {
  return Duration(static_cast<Duration::rep>(static_cast<double>(rollout.durationMs) * part));
}
Step revert(std::string reason) {
  return {RolloutPhase::reverted, 0, std::move(reason)};
}
std::string describe(const Fault& fault) {
  const auto number = [](double value) { return std::to_string(static_cast<std::int64_t>(value)); };
  const auto counts = number(fault.candidate.bad) + " of " + number(fault.candidate.total);
  if (fault.kind == Fault::Kind::faultyRunners)
    return counts + " runners faulty";
  return counts + " answers " + (fault.kind == Fault::Kind::slowAnswers ? "slow" : "failed") +
         (fault.stratum.empty() ? "" : " on route " + fault.stratum);
}
// The next group of the load test. A leader that takes over late in the load test shortens the remaining groups.
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
  // Under a suspicion, the load test stays at the current group, which raised the suspicion.
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
// Whether the shift may continue. Late in the term, a suspicion no longer delays a rollout if the candidate is cleared
// by many good answers.
bool mayProceed(const Rollout& rollout, const EvidenceLedger& evidence, Duration elapsed) {
  return !evidence.isSuspicious() || (elapsed >= fractionOfTerm(rollout, kSuspicionHoldFraction) &&
                                      evidence.isCleared(EvidenceLedger::Clearing::byRoute));
}
Step complete() {
  return {RolloutPhase::completed, kFullPercent, "all traffic goes to the candidate without a fault"};
}
std::optional<Step> nextShiftStep(const Rollout& rollout, const EvidenceLedger& evidence, const FleetView& fleet,
                                  Duration elapsed, Duration sinceStep) {
  // While the traffic is being shifted, waiting for a proof exposes a large part of all requests.
  if (evidence.isSuspicious(EvidenceLedger::Suspicion::strong) &&
      evidence.candidateAnswers() >= fleet.allowedCandidateRequests * kSpentExposureFraction)
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
