#include "rollout/revision_gate.hpp"

#include "rollout/stratum.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::rollout {
namespace {
using state_machine::Rollout;
using state_machine::RolloutPhase;
using Rule = RevisionFilter::Rule;

constexpr double kMaxTokens = 4;             // of one proxy for one service
constexpr double kCanaryRunnerShare = 0.08;  // of the candidate's runners
constexpr std::uint64_t kPercent = 100;

// The circuit breaker trips at this number and rate of bad attempts, and this difference to the baseline's rate.
constexpr double kTripMinBadAttempts = 2.5;
constexpr double kTripMinBadRate = 0.3;
constexpr double kTripMinRateDifference = 0.25;
constexpr double kAttemptDecay = 0.97;  // decay of the counts of attempts with each new attempt

double badRate(double bad, double good) {
  return bad + good > 0 ? bad / (bad + good) : 0;
}
bool isSameStep(const Rollout& one, const Rollout& other) {
  return one.isSameRollout(other) && one.phase() == other.phase() && one.percent == other.percent;
}
}  // namespace

void RevisionGate::setRollouts(const std::vector<Rollout>& rollouts) {
  std::vector<ServiceRollout> services;
  for (const auto& rollout : rollouts) {
    // A completed rollout has removed the baseline's runners from the fleet, so no filter is needed.
    if (rollout.phase() == RolloutPhase::completed)
      continue;
    ServiceRollout next;
    if (auto* known = find(rollout.service); known && known->rollout.isSameRollout(rollout)) {
      next = std::move(*known);
      if (!isSameStep(next.rollout, rollout))
        next.candidateGood = next.candidateBad = 0;
    }
    next.rollout = rollout;
    services.push_back(std::move(next));
  }
  services_ = std::move(services);
}
bool RevisionGate::isObserved(std::string_view service) const {
  const auto* found = find(service);
  return found && found->rollout.inProgress();
}

RevisionFilter RevisionGate::choose(const std::string& service, std::uint64_t affinity, bool isRetry, TimePoint now) {
  auto* found = find(service);
  if (!found)
    return {};
  if (found->rollout.phase() == RolloutPhase::reverted || found->tripped)
    return {Rule::except, found->rollout.revision, 1};
  if (found->rollout.phase() == RolloutPhase::canary)
    return chooseCanary(*found, isRetry, now);
  return chooseShifted(*found, affinity != 0);
}
RevisionFilter RevisionGate::chooseCanary(ServiceRollout& service, bool isRetry, TimePoint now) const {
  if (now >= service.tokensExpireAt)
    service.tokens = 0;
  if (isRetry || service.tokens < 1)
    return {Rule::except, service.rollout.revision, 1};
  service.tokens -= 1;
  if (const auto group = service.rollout.loadTestGroup(); group > 0)
    return {Rule::only, service.rollout.revision, 1, group, exposureShare_};
  return {Rule::only, service.rollout.revision, kCanaryRunnerShare};
}
// The fraction of the candidate's runners in use equals the shifted fraction of the traffic, so that each runner has
// its usual load. A request with a prompt prefix goes to the candidate if the prefix prefers one of these runners. So
// each prefix moves to the candidate once, and at the same step on all proxies.
RevisionFilter RevisionGate::chooseShifted(const ServiceRollout& service, bool hasAffinity) {
  const auto percent = service.rollout.percent;
  if (!hasAffinity && static_cast<std::int32_t>(rng_() % kPercent) >= percent)
    return {Rule::except, service.rollout.revision, 1};
  return {Rule::only, service.rollout.revision, percent / static_cast<double>(kPercent)};
}
std::optional<RevisionFilter> RevisionGate::fallback(const std::string& service, const RevisionFilter& tried) {
  auto* found = find(service);
  if (!found || tried.rule == Rule::any)
    return std::nullopt;
  if (tried.rule == Rule::only) {
    // The token is returned, because no runner matched its filter.
    if (found->rollout.phase() == RolloutPhase::canary)
      found->tokens = std::min(kMaxTokens, found->tokens + 1);
    return RevisionFilter{Rule::except, tried.revision, 1};
  }
  if (found->rollout.phase() != RolloutPhase::shifting || found->tripped)
    return std::nullopt;
  return RevisionFilter{Rule::only, tried.revision, 1};
}

void RevisionGate::recordRequest(const std::string& service) {
  if (auto* found = find(service))
    found->requests += 1;
}
void RevisionGate::recordAttempt(const std::string& service, const ObservedAttempt& attempt) {
  auto* found = find(service);
  if (!found || !found->rollout.inProgress())
    return;
  const bool isCandidate = attempt.revision == found->rollout.revision;
  auto& answers = found->answers[{stratumOf(attempt.route, loadClassOf(attempt.load)),
                                  isCandidate ? attempt.runner : std::string()}];
  answers.answered += attempt.answered ? 1 : 0;
  answers.failed += attempt.answered && attempt.failed ? 1 : 0;
  answers.interrupted += attempt.answered ? 0 : 1;
  answers.slow += attempt.answered && attempt.isSlow() ? 1 : 0;
  updateCircuitBreaker(*found, isCandidate, attempt.isGood());
}
void RevisionGate::updateCircuitBreaker(ServiceRollout& service, bool isCandidate, bool isGood) {
  auto& good = isCandidate ? service.candidateGood : service.baselineGood;
  auto& bad = isCandidate ? service.candidateBad : service.baselineBad;
  good = good * kAttemptDecay + (isGood ? 1 : 0);
  bad = bad * kAttemptDecay + (isGood ? 0 : 1);
  const double candidateRate = badRate(service.candidateBad, service.candidateGood);
  const double baselineRate = badRate(service.baselineBad, service.baselineGood);
  const bool isFailing = service.candidateBad >= kTripMinBadAttempts && candidateRate >= kTripMinBadRate &&
                         candidateRate >= baselineRate + kTripMinRateDifference;
  if (!isFailing || service.tripped)
    return;
  service.tripped = true;
  log::info("rollout_stopped_here", {{"service", service.rollout.service},
                                     {"revision", service.rollout.revision},
                                     {"bad", static_cast<std::int64_t>(service.candidateBad)}});
}
void RevisionGate::addGrants(const std::vector<transport::ExposureGrant>& grants, TimePoint now) {
  for (const auto& grant : grants) {
    auto* found = find(grant.service);
    if (!found || found->rollout.revision != grant.revision)
      continue;
    if (now >= found->tokensExpireAt)
      found->tokens = 0;
    found->tokens = std::min(kMaxTokens, found->tokens + std::max(0.0, grant.tokens));
    found->tokensExpireAt = now + kGrantLifetime;
  }
}
std::vector<transport::RolloutReport> RevisionGate::takeReports() {
  std::vector<transport::RolloutReport> reports;
  for (auto& service : services_) {
    if (!service.rollout.inProgress())
      continue;
    transport::RolloutReport report;
    report.service = service.rollout.service;
    report.revision = service.rollout.revision;
    report.percent = service.tripped ? 0 : service.rollout.percent;
    report.requests = std::exchange(service.requests, 0);
    for (auto& [key, answers] : service.answers) {
      answers.route = key.stratum;
      answers.runner = key.runner;
      report.answers.push_back(std::move(answers));
    }
    service.answers.clear();
    reports.push_back(std::move(report));
  }
  return reports;
}
RevisionGate::ServiceRollout* RevisionGate::find(std::string_view service) {
  return const_cast<ServiceRollout*>(std::as_const(*this).find(service));
}
const RevisionGate::ServiceRollout* RevisionGate::find(std::string_view service) const {
  const auto found = std::find_if(services_.begin(), services_.end(),
                                  [&](const ServiceRollout& each) { return each.rollout.service == service; });
  return found == services_.end() ? nullptr : &*found;
}
}  // namespace zinccleat::rollout
