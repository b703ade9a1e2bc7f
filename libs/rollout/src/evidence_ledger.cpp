#include "rollout/evidence_ledger.hpp"

#include <cmath>

namespace zinccleat::rollout {
namespace {
constexpr double kAlpha = 0.001;           // probability of a false revert, over all tests of one rollout
constexpr double kSuspicionAlpha = 0.1;    // from which a candidate gets no more requests than needed
constexpr double kBeta = 0.05;             // probability that a faint fault is cleared
constexpr double kFaintFault = 0.08;       // such a fault: so many more of its answers are bad
constexpr double kRouteFault = 0.3;        // a fault on one route that is cleared as well, where
constexpr double kUsualRoutePart = 0.05;   // the baseline has so many of its answers there
constexpr double kMinBadAnswers = 4;       // fewer prove nothing
constexpr std::size_t kOutliersOneIn = 3;  // runners that are left out, rounded down
constexpr double kMaxPerReport = 1e6;      // a report with larger numbers is wrong

double sane(double count) {
  return count > 0 && count < kMaxPerReport ? count : 0;
}
}  // namespace

EvidenceLedger::Answers& EvidenceLedger::Answers::operator+=(const Answers& other) {
  answered += other.answered;
  failed += other.failed;
  slow += other.slow;
  return *this;
}
EvidenceLedger::Answers EvidenceLedger::CandidateRunner::total() const {
  Answers sum;
  for (const auto& [route, answers] : byRoute)
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
    const double interrupted = sane(each.interrupted);
    const Answers counted{sane(each.answered), std::min(sane(each.failed), sane(each.answered)),
                          std::min(sane(each.slow), sane(each.answered))};
    if (each.runner.empty()) {
      baseline_[each.route] += Answers{counted.answered + interrupted, counted.failed + interrupted, counted.slow};
      continue;
    }
    auto& runner = candidate_[each.runner];
    if (counted.answered > 0 && previousReport)
      confirmInterruptions(runner, *previousReport);
    runner.byRoute[each.route] += counted;
    if (interrupted > 0)
      runner.interruptions.push_back({each.route, interrupted, now});
  }
}
void EvidenceLedger::confirmInterruptions(CandidateRunner& runner, TimePoint answeredAfter) {
  std::erase_if(runner.interruptions, [&](const Interruption& each) {
    if (each.reportedAt > answeredAfter)
      return false;
    runner.byRoute[each.route] += Answers{each.count, each.count, 0};
    return true;
  });
}
std::vector<const EvidenceLedger::CandidateRunner*> EvidenceLedger::allRunners() const {
  std::vector<const CandidateRunner*> runners;
  for (const auto& [id, runner] : candidate_)
    runners.push_back(&runner);
  return runners;
}
std::vector<const EvidenceLedger::CandidateRunner*> EvidenceLedger::withoutOutliers() const {
  auto runners = allRunners();
  const auto badAnswers = [](const CandidateRunner* runner) {
    const auto total = runner->total();
    return total.failed + total.slow;
  };
  std::sort(runners.begin(), runners.end(),
            [&](const auto* left, const auto* right) { return badAnswers(left) < badAnswers(right); });
  runners.resize(runners.size() - runners.size() / kOutliersOneIn);
  return runners;
}
EvidenceLedger::ByRoute EvidenceLedger::candidateByRoute(const std::vector<const CandidateRunner*>& runners) const {
  auto sum = carriedOver_;
  for (const auto* runner : runners)
    for (const auto& [route, answers] : runner->byRoute)
      sum[route] += answers;
  return sum;
}
EvidenceLedger::Answers EvidenceLedger::baselineOf(const std::string& route) const {
  const auto found = baseline_.find(route);
  return found == baseline_.end() ? Answers{} : found->second;
}
std::optional<Fault> EvidenceLedger::findFaultAmong(const std::vector<const CandidateRunner*>& runners,
                                                    double threshold) const {
  const auto isProven = [threshold](const BadCount& candidate, const BadCount& baseline, const TestOptions& options) {
    return candidate.bad >= kMinBadAnswers && logEvidence(candidate, soundRate(baseline, options)) >= threshold;
  };
  Answers allBaseline;
  Answers allCandidate;
  for (const auto& [route, candidate] : candidateByRoute(runners)) {
    const auto baseline = baselineOf(route);
    allBaseline += baseline;
    allCandidate += candidate;
    if (isProven(candidate.failures(), baseline.failures(), kFailureTest))
      return Fault{route, false, candidate.failures()};
    if (isProven(candidate.slowness(), baseline.slowness(), kSlowTest))
      return Fault{route, true, candidate.slowness()};
  }
  if (isProven(allCandidate.failures(), allBaseline.failures(), kFailureTest))
    return Fault{"", false, allCandidate.failures()};
  if (isProven(allCandidate.slowness(), allBaseline.slowness(), kSlowTest))
    return Fault{"", true, allCandidate.slowness()};
  return std::nullopt;
}
// All tests share alpha (Bonferroni): two for each route, and two for all routes together.
std::optional<Fault> EvidenceLedger::findFault() const {
  const double tests = 2.0 * static_cast<double>(candidateByRoute(allRunners()).size() + 1);
  return findFaultAmong(withoutOutliers(), std::log(tests / kAlpha));
}
bool EvidenceLedger::isSuspicious() const {
  return findFaultAmong(withoutOutliers(), std::log(1 / kSuspicionAlpha)).has_value();
}
bool EvidenceLedger::isCleared() const {
  Answers allBaseline;
  for (const auto& [route, baseline] : baseline_)
    allBaseline += baseline;
  Answers allCandidate;
  auto candidateAnswers = candidateByRoute(withoutOutliers());
  for (const auto& [route, baseline] : baseline_) {
    const auto& candidate = candidateAnswers[route];
    allCandidate += candidate;
    const bool isUsual = baseline.answered >= allBaseline.answered * kUsualRoutePart;
    const double rate = soundRate(baseline.failures(), kFailureTest);
    if (isUsual && logRatio(candidate.failures(), rate, kRouteFault) > std::log(kBeta))
      return false;
  }
  const double rate = soundRate(allBaseline.failures(), kFailureTest);
  return logRatio(allCandidate.failures(), rate, kFaintFault) <= std::log(kBeta);
}
double EvidenceLedger::candidateAnswers() const {
  double sum = 0;
  for (const auto& [route, answers] : candidateByRoute(allRunners()))
    sum += answers.answered;
  return sum;
}
double EvidenceLedger::candidateBadAnswers() const {
  double sum = 0;
  for (const auto& [route, answers] : candidateByRoute(allRunners()))
    sum += std::max(answers.failed, answers.slow);
  for (const auto& [id, runner] : candidate_)
    for (const auto& each : runner.interruptions)
      sum += each.count;
  return sum;
}
std::vector<state_machine::RouteEvidence> EvidenceLedger::summary() const {
  std::map<std::string, state_machine::RouteEvidence> byRoute;
  for (const auto& [route, answers] : baseline_) {
    auto& evidence = byRoute[route];
    evidence.baselineAnswered = answers.answered;
    evidence.baselineFailed = answers.failed;
    evidence.baselineSlow = answers.slow;
  }
  for (const auto& [route, answers] : candidateByRoute(allRunners())) {
    auto& evidence = byRoute[route];
    evidence.candidateAnswered = answers.answered;
    evidence.candidateFailed = answers.failed;
    evidence.candidateSlow = answers.slow;
  }
  std::vector<state_machine::RouteEvidence> summary;
  for (auto& [route, evidence] : byRoute) {
    evidence.route = route;
    summary.push_back(evidence);
  }
  return summary;
}
}  // namespace zinccleat::rollout
