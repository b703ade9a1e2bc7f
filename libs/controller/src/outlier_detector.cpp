#include "outlier_detector.hpp"

#include <cmath>

#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr double kHalfLifeS = 2;  // half-life of the weight of a reported attempt
constexpr auto kReportLifetime = 4s;
// Caps on what a single report about one runner counts, so that one proxy cannot outweigh the others.
constexpr double kMaxSucceededPerReport = 50;
constexpr double kMaxFailedPerReport = 4;

constexpr double kMinFailures = 2.5;      // in decayed attempts; a runner with fewer is not ejected
constexpr std::size_t kMinReporters = 2;  // a runner is ejected only if at least this many proxies report failures
constexpr double kMinFailureRate = 0.25;  // minimum failed share of the runner's attempts
// A runner is an outlier only if its failure rate is at least `kPeerRateFactor` times the rate of the service's other
// runners, or at least `kPeerRateDifference` above it. The second condition applies where many runners fail.
constexpr double kPeerRateFactor = 3;
constexpr double kPeerRateDifference = 0.4;
constexpr std::size_t kRunnersPerEjection = 5;  // at most one in this many runners of a service is unhealthy at a time
constexpr auto kBaseEjectionTime = 1500ms;  // duration of the first ejection; doubles with each consecutive ejection
constexpr int kMaxDoublings = 3;
constexpr auto kProbationTime = 1500ms;
constexpr double kProbationLevel = 0.5;
// A runner in probation is ejected again once its decayed failures reach `kProbationMinFailures` and exceed
// `kProbationFailuresPerSuccess` for each success.
constexpr double kProbationMinFailures = 0.9;
constexpr double kProbationFailuresPerSuccess = 0.5;
// A runner's ejection count and its negligible statistics are dropped after this time.
constexpr auto kHealthyTimeBeforeReset = 15s;
constexpr double kNegligibleAttempts = 0.01;
}  // namespace

void OutlierDetector::decay(RunnerStats& stats, TimePoint now) {
  if (stats.decayedAt != TimePoint{} && now > stats.decayedAt) {
    const double factor = std::exp2(-std::chrono::duration<double>(now - stats.decayedAt).count() / kHalfLifeS);
    stats.succeeded *= factor;
    stats.failed *= factor;
  }
  stats.decayedAt = now;
  std::erase_if(stats.failureReporters,
                [now](const auto& reporter) { return now - reporter.second > kReportLifetime; });
}
void OutlierDetector::setHealth(const std::string& runner, RunnerStats& stats, Health health, TimePoint now) {
  stats.health = health;
  stats.healthSince = now;
  stats.succeeded = stats.failed = 0;
  stats.failureReporters.clear();
  switch (health) {
    case Health::ejected: {
      const Duration duration = kBaseEjectionTime * (1 << stats.ejectionCount);
      stats.healthUntil = now + duration;
      stats.ejectionCount = std::min(kMaxDoublings, stats.ejectionCount + 1);
      return log::debug("runner_ejected", {{"runner", runner}, {"duration_ms", duration}});
    }
    case Health::probation:
      stats.healthUntil = now + kProbationTime;
      return;
    case Health::healthy:
      return log::debug("runner_readmitted", {{"runner", runner}});
  }
}
void OutlierDetector::startTerm(std::int64_t term) {
  constexpr int kVersionBitsOfTerm = 24;  // keeps versions of an earlier term below those of a later term
  stats_.clear();
  ejections_.clear();
  version_ = (term << kVersionBitsOfTerm) + 1;
}
void OutlierDetector::report(TimePoint now, const std::string& proxy,
                             const std::vector<transport::RunnerAttempts>& attempts) {
  for (const auto& seen : attempts) {
    if (!knownRunners_.contains(seen.runner)) {
      ++unknownRunnerReports_;
      continue;
    }
    const double succeeded = std::clamp(seen.succeeded, 0.0, kMaxSucceededPerReport);
    const double failed = std::clamp(seen.failed, 0.0, kMaxFailedPerReport);
    if (!(succeeded + failed > 0))
      continue;
    auto& stats = stats_[seen.runner];
    decay(stats, now);
    stats.succeeded += succeeded;
    stats.failed += failed;
    if (failed > 0)
      stats.failureReporters[proxy] = now;
  }
}
void OutlierDetector::evaluate(TimePoint now, const std::vector<state_machine::Runner>& runners) {
  auto totals = updateStats(now, runners);
  eject(findSuspects(runners, totals), now);
  publish(runners);
  forgetStats(now);
}
OutlierDetector::RunnerStats* OutlierDetector::statsOf(const std::string& runner) {
  const auto it = stats_.find(runner);
  return it == stats_.end() ? nullptr : &it->second;
}
OutlierDetector::TotalsByService OutlierDetector::updateStats(TimePoint now,
                                                              const std::vector<state_machine::Runner>& runners) {
  TotalsByService totals;
  knownRunners_.clear();
  for (const auto& runner : runners) {
    knownRunners_.insert(runner.id);
    auto& service = totals[runner.service];
    ++service.runners;
    auto* stats = statsOf(runner.id);
    if (!stats)
      continue;
    decay(*stats, now);
    updateHealth(runner.id, *stats, now);
    service.succeeded += stats->succeeded;
    service.failed += stats->failed;
    service.unhealthy += stats->health == Health::healthy ? 0 : 1;
  }
  return totals;
}
void OutlierDetector::updateHealth(const std::string& runner, RunnerStats& stats, TimePoint now) {
  const bool expired = now >= stats.healthUntil;
  const bool failsAgain =
      stats.failed >= kProbationMinFailures && stats.failed > stats.succeeded * kProbationFailuresPerSuccess;
  if (stats.health == Health::ejected && expired)
    setHealth(runner, stats, Health::probation, now);
  else if (stats.health == Health::probation && failsAgain)
    setHealth(runner, stats, Health::ejected, now);
  else if (stats.health == Health::probation && expired)
    setHealth(runner, stats, Health::healthy, now);
  if (stats.health == Health::healthy && now - stats.healthSince > kHealthyTimeBeforeReset)
    stats.ejectionCount = 0;
}
bool OutlierDetector::isOutlier(const RunnerStats& stats, const ServiceTotals& service) {
  if (stats.health != Health::healthy || stats.failed < kMinFailures || stats.failureReporters.size() < kMinReporters)
    return false;
  const double failureRate = stats.failed / (stats.failed + stats.succeeded);
  const double peersFailed = service.failed - stats.failed;
  const double peersAttempts = peersFailed + service.succeeded - stats.succeeded;
  const double peersRate = peersAttempts > 0 ? peersFailed / peersAttempts : 0;
  return failureRate >= kMinFailureRate &&
         failureRate >= std::min(kPeerRateFactor * peersRate, peersRate + kPeerRateDifference);
}
std::vector<OutlierDetector::Suspect> OutlierDetector::findSuspects(const std::vector<state_machine::Runner>& runners,
                                                                    TotalsByService& totals) {
  std::vector<Suspect> suspects;
  for (const auto& runner : runners) {
    auto* stats = statsOf(runner.id);
    auto& service = totals[runner.service];
    if (stats && isOutlier(*stats, service))
      suspects.push_back({runner.id, stats->failed / (stats->failed + stats->succeeded), stats, &service});
  }
  return suspects;
}
void OutlierDetector::eject(std::vector<Suspect> suspects, TimePoint now) {
  std::sort(suspects.begin(), suspects.end(),
            [](const auto& one, const auto& other) { return one.failureRate > other.failureRate; });
  for (auto& suspect : suspects) {
    // Limits the ejected runners of a service: with many ejected, the remaining runners would be overloaded, and the
    // cause is then probably not the runners.
    auto& service = *suspect.service;
    const std::size_t limit = service.runners < 2 ? 0 : std::max<std::size_t>(1, service.runners / kRunnersPerEjection);
    if (service.unhealthy >= limit)
      continue;
    ++service.unhealthy;
    setHealth(suspect.runner, *suspect.stats, Health::ejected, now);
  }
}
void OutlierDetector::publish(const std::vector<state_machine::Runner>& runners) {
  std::vector<transport::RunnerEjection> ejections;
  for (const auto& runner : runners) {
    const auto* stats = statsOf(runner.id);
    if (!stats || stats->health == Health::healthy)
      continue;
    const double level = stats->health == Health::ejected ? 1.0 : kProbationLevel;
    ejections.push_back({.runner = runner.id, .level = level});
  }
  const bool unchanged = std::equal(
      ejections.begin(), ejections.end(), ejections_.begin(), ejections_.end(),
      [](const auto& one, const auto& other) { return one.runner == other.runner && one.level == other.level; });
  if (unchanged)
    return;
  ejections_ = std::move(ejections);
  ++version_;
}
void OutlierDetector::forgetStats(TimePoint now) {
  std::erase_if(stats_, [&](const auto& entry) {
    const auto& [runner, stats] = entry;
    if (!knownRunners_.contains(runner))
      return true;
    const bool negligible = stats.succeeded + stats.failed < kNegligibleAttempts;
    return stats.health == Health::healthy && negligible && now - stats.healthSince > kHealthyTimeBeforeReset;
  });
}
}  // namespace zinccleat::controller
