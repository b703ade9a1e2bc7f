#include "rollout/evidence_ledger.hpp"

#include <cmath>

#include "rollout/runner_outliers.hpp"

namespace zinccleat::rollout {
namespace {
// Probability of a false revert over all tests of one rollout. It is not lower because a missed fault costs more.
constexpr double kAlpha = 0.01;
// At this significance a candidate gets no more requests than needed for a decision.
constexpr double kSuspicionAlpha = 0.2;
constexpr double kStrongSuspicionAlpha = 0.03;  // significance of `Suspicion::strong`
constexpr double kBeta = 0.05;                  // probability that a candidate with a small fault is cleared
// Difference to the sound rate of bad answers that clearing rules out, over all answers and in each frequent group.
constexpr double kSmallFaultDifference = 0.08;
constexpr double kGroupFaultDifference = 0.3;
constexpr double kFrequentGroupFraction = 0.05;  // a group with this fraction of the baseline's answers is frequent
constexpr double kMinBadAnswers = 4;             // fewer bad answers never prove a fault
// Additional fraction of the candidate's runners that may have a fault of their own, beyond the fraction that the
// baseline's answers explain.
constexpr double kRunnerTolerance = 0.08;
constexpr double kSuspiciousRunnerTolerance = 0.02;  // for a suspicion
constexpr double kMinBadRunners = 2;                 // fewer faulty runners never prove a fault of the revision
constexpr std::size_t kMinRunnersForExclusion = 6;   // with fewer runners, a suspicion includes outliers
// With this many answers, the faults of the only runner of a revision count as faults of the revision.
constexpr double kMinAnswersOfOnlyRunner = 20;
constexpr double kMaxCountPerReport = 1e6;  // a larger count in a report is invalid

/// Replaces an invalid count of a report by 0.
double sanitizeCount(double count) {
  return count > 0 && count < kMaxCountPerReport ? count : 0;
}
}  // namespace

EvidenceLedger::Answers& EvidenceLedger::Answers::operator+=(const Answers& other) {
  answered += other.answered;
  failed += other.failed;
  slow += other.slow;
  return *this;
}
EvidenceLedger::Answers EvidenceLedger::CandidateRunner::total(bool busy) const {
  Answers sum;
  for (const auto& [stratum, answers] : byStratum)
    if ((loadClassOf(stratum) != LoadClass::idle) == busy)
      sum += answers;
  return sum;
}

EvidenceLedger::EvidenceLedger(const std::vector<state_machine::RouteEvidence>& carriedOver) {
  for (const auto& each : carriedOver) {
    baseline_[each.route] = {each.baselineAnswered, each.baselineFailed, each.baselineSlow};
    carriedOver_[each.route] = {each.candidateAnswered, each.candidateFailed, each.candidateSlow};
  }
}
void EvidenceLedger::report(TimePoint now, std::optional<TimePoint> previousReport,
                            const std::vector<transport::RevisionAnswers>& answers) {
  for (const auto& each : answers) {
    const double interrupted = sanitizeCount(each.interrupted);
    const Answers counted{sanitizeCount(each.answered),
                          std::min(sanitizeCount(each.failed), sanitizeCount(each.answered)),
                          std::min(sanitizeCount(each.slow), sanitizeCount(each.answered))};
    if (each.runner.empty()) {
      baseline_[each.route] += Answers{counted.answered + interrupted, counted.failed + interrupted, counted.slow};
      continue;
    }
    auto& runner = candidate_[each.runner];
    if (counted.answered > 0 && previousReport)
      confirmInterruptions(runner, *previousReport);
    runner.byStratum[each.route] += counted;
    if (interrupted > 0)
      runner.interruptions.push_back({each.route, interrupted, now});
  }
}
void EvidenceLedger::confirmInterruptions(CandidateRunner& runner, TimePoint answeredAfter) {
  std::erase_if(runner.interruptions, [&](const Interruption& each) {
    if (each.reportedAt > answeredAfter)
      return false;
    runner.byStratum[each.stratum] += Answers{each.count, each.count, 0};
    return true;
  });
}
EvidenceLedger::ByStratum EvidenceLedger::candidateAnswersByStratum() const {
  auto sum = carriedOver_;
  for (const auto& [id, runner] : candidate_)
    for (const auto& [stratum, answers] : runner.byStratum)
      sum[stratum] += answers;
  return sum;
}
// Outliers are determined separately among idle and busy runners. Otherwise a fault of the revision under load would be
// mistaken for a fault of the few runners that are busy.
EvidenceLedger::CandidateEvidence EvidenceLedger::withoutOutliers() const {
  CandidateEvidence remaining{carriedOver_, {}, {}, false};
  double idleRunnersWithBadAnswers = 0;
  for (const auto& [stratum, answers] : carriedOver_)
    idleRunnersWithBadAnswers += answers.bad().bad;  // the number of runners is unknown; each answer counts as one
  std::set<std::string> outliers;
  for (const bool busy : {false, true}) {
    std::vector<const std::string*> ids;
    std::vector<BadCount> counts;
    for (const auto& [id, runner] : candidate_) {
      const auto total = runner.total(busy);
      if (total.answered <= 0)
        continue;
      ids.push_back(&id);
      counts.push_back(total.bad());
      idleRunnersWithBadAnswers += !busy && total.bad().bad > 0 ? 1 : 0;
    }
    std::set<std::string> outliersOfLoadClass;
    for (const auto index : findOutliers(counts)) {
      outliersOfLoadClass.insert(*ids[index]);
      remaining.outlierAnswers += counts[index];
    }
    for (const auto* id : ids)
      for (const auto& [stratum, answers] : candidate_.at(*id).byStratum)
        if ((loadClassOf(stratum) != LoadClass::idle) == busy && !outliersOfLoadClass.contains(*id))
          remaining.answers[stratum] += answers;
    outliers.merge(outliersOfLoadClass);
  }
  const bool isOnlyRunner =
      candidate_.size() == 1 && candidate_.begin()->second.total(false).answered >= kMinAnswersOfOnlyRunner;
  remaining.idleFaultIsShared = idleRunnersWithBadAnswers >= kMinBadRunners || isOnlyRunner;
  remaining.runners = {static_cast<double>(outliers.size()), static_cast<double>(candidate_.size())};
  return remaining;
}
EvidenceLedger::CandidateEvidence EvidenceLedger::withAllRunners() const {
  return {candidateAnswersByStratum(), {0, static_cast<double>(candidate_.size())}, {}, true};
}
EvidenceLedger::Answers EvidenceLedger::baselineOf(const std::string& stratum) const {
  const auto found = baseline_.find(stratum);
  return found == baseline_.end() ? Answers{} : found->second;
}
bool EvidenceLedger::isFaultProven(const BadCount& candidate, const BadCount& baseline, const TestOptions& options,
                                   double threshold) {
  return candidate.bad >= kMinBadAnswers && logEvidence(candidate, soundRate(baseline, options)) >= threshold;
}
// Slowness is tested in each stratum separately, because the candidate's runners may be busier than the baseline's when
// all strata are combined. Failures are tested on each route with full and busy runners combined, and once more over
// all routes.
std::optional<Fault> EvidenceLedger::findFaultAmong(const CandidateEvidence& candidate, double threshold) const {
  struct Compared {
    BadCount candidate;
    BadCount baseline;
  };
  std::map<std::string, Compared> failures;
  Compared allFailures;
  for (const auto& [stratum, answers] : candidate.answers) {
    if (loadClassOf(stratum) == LoadClass::idle && !candidate.idleFaultIsShared)
      continue;
    const auto baseline = baselineOf(stratum);
    if (isFaultProven(answers.slowness(), baseline.slowness(), kSlowTest, threshold))
      return Fault{stratum, Fault::Kind::slowAnswers, answers.slowness()};
    for (auto* compared : {&failures[mergeFullIntoBusy(stratum)], &allFailures}) {
      compared->candidate += answers.failures();
      compared->baseline += baseline.failures();
    }
  }
  for (const auto& [stratum, compared] : failures)
    if (isFaultProven(compared.candidate, compared.baseline, kFailureTest, threshold))
      return Fault{stratum, Fault::Kind::failedAnswers, compared.candidate};
  if (isFaultProven(allFailures.candidate, allFailures.baseline, kFailureTest, threshold))
    return Fault{"", Fault::Kind::failedAnswers, allFailures.candidate};
  return std::nullopt;
}
// Tests whether more of the candidate's runners are outliers than of the baseline's can be. The upper limit for the
// baseline follows from its rate of bad answers: more faulty runners would have caused more bad answers.
std::optional<Fault> EvidenceLedger::findRunnerFault(const CandidateEvidence& candidate, double tolerance,
                                                     double threshold) const {
  if (candidate.runners.bad < kMinBadRunners)
    return std::nullopt;
  BadCount baseline;
  for (const auto& [stratum, answers] : baseline_)
    baseline += answers.bad();
  constexpr TestOptions kNoTolerance{.tolerance = 0, .minSoundRate = 0};
  const double outlierRate = candidate.outlierAnswers.bad / candidate.outlierAnswers.total;
  const double acceptableFraction =
      std::max(ejectedBaselineFraction_, soundRate(baseline, kNoTolerance) / outlierRate) + tolerance;
  if (acceptableFraction >= 1 || logEvidence(candidate.runners, acceptableFraction) < threshold)
    return std::nullopt;
  return Fault{"", Fault::Kind::faultyRunners, candidate.runners};
}
// Alpha is divided among all tests (Bonferroni): two tests for each stratum, one for all strata together and one for
// the runners.
std::optional<Fault> EvidenceLedger::findFault() const {
  const auto candidate = withoutOutliers();
  const double tests = 2.0 * static_cast<double>(candidate.answers.size() + 1);
  const double threshold = std::log(tests / kAlpha);
  if (auto fault = findFaultAmong(candidate, threshold))
    return fault;
  return findRunnerFault(candidate, kRunnerTolerance, threshold);
}
bool EvidenceLedger::isSuspicious(Suspicion suspicion) const {
  // If the candidate has few runners, the load test may have loaded only one of them. That runner must not be excluded
  // as an outlier from a suspicion.
  const auto candidate = candidate_.size() < kMinRunnersForExclusion ? withAllRunners() : withoutOutliers();
  const double threshold = std::log(1 / (suspicion == Suspicion::slight ? kSuspicionAlpha : kStrongSuspicionAlpha));
  return findFaultAmong(candidate, threshold) || findRunnerFault(candidate, kSuspiciousRunnerTolerance, threshold);
}
bool EvidenceLedger::isCleared(Clearing clearing) const {
  const auto keyOf = [clearing](const std::string& stratum) {
    return clearing == Clearing::byStratum ? mergeFullIntoBusy(stratum) : routeOf(stratum);
  };
  ByStratum baseline;
  ByStratum candidate;
  Answers allBaseline;
  Answers allCandidate;
  for (const auto& [stratum, answers] : baseline_) {
    baseline[keyOf(stratum)] += answers;
    allBaseline += answers;
  }
  for (const auto& [stratum, answers] : withoutOutliers().answers) {
    candidate[keyOf(stratum)] += answers;
    allCandidate += answers;
  }
  for (const auto& [key, answers] : baseline) {
    const bool isFrequent = answers.answered >= allBaseline.answered * kFrequentGroupFraction;
    const double rate = soundRate(answers.failures(), kFailureTest);
    if (isFrequent && logRatio(candidate[key].failures(), rate, kGroupFaultDifference) > std::log(kBeta))
      return false;
  }
  const double rate = soundRate(allBaseline.failures(), kFailureTest);
  return logRatio(allCandidate.failures(), rate, kSmallFaultDifference) <= std::log(kBeta);
}
double EvidenceLedger::candidateAnswers() const {
  double sum = 0;
  for (const auto& [stratum, answers] : candidateAnswersByStratum())
    sum += answers.answered;
  return sum;
}
double EvidenceLedger::allAnswers() const {
  double sum = candidateAnswers();
  for (const auto& [stratum, answers] : baseline_)
    sum += answers.answered;
  return sum;
}
double EvidenceLedger::candidateBadAnswers() const {
  double sum = 0;
  for (const auto& [stratum, answers] : candidateAnswersByStratum())
    sum += std::max(answers.failed, answers.slow);
  for (const auto& [id, runner] : candidate_)
    for (const auto& each : runner.interruptions)
      sum += each.count;
  return sum;
}
std::vector<state_machine::RouteEvidence> EvidenceLedger::summary() const {
  std::map<std::string, state_machine::RouteEvidence> byStratum;
  for (const auto& [stratum, answers] : baseline_) {
    auto& evidence = byStratum[stratum];
    evidence.baselineAnswered = answers.answered;
    evidence.baselineFailed = answers.failed;
    evidence.baselineSlow = answers.slow;
  }
  for (const auto& [stratum, answers] : candidateAnswersByStratum()) {
    auto& evidence = byStratum[stratum];
    evidence.candidateAnswered = answers.answered;
    evidence.candidateFailed = answers.failed;
    evidence.candidateSlow = answers.slow;
  }
  std::vector<state_machine::RouteEvidence> summary;
  for (auto& [stratum, evidence] : byStratum) {
    evidence.route = stratum;
    summary.push_back(evidence);
  }
  return summary;
}
}  // namespace zinccleat::rollout
