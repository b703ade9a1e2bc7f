#include "rollout/exposure.hpp"

#include <algorithm>
#include <cmath>

namespace zinccleat::rollout {
namespace {
constexpr double kAllowedFraction = 0.7;  // of the share that is allowed: reports are late, and requests go astray
constexpr double kCanaryFraction = 0.35;  // of that, before the load test
constexpr double kLoadTestFactor = 1.6;   // of that, in the load test, which spends what was saved
// The load test of a small service: one runner gets so many times the requests that it would have after completion. It
// lasts as long as what was saved for it.
constexpr double kSmallServiceFactor = 2.4;
constexpr double kMaxLoadTestShare = 0.6;

constexpr double kTargetLoad = 0.9;  // of the slots
constexpr double kMinBaselineLoad = 1e-3;
constexpr double kDefaultFactor = 1.5;  // times the requests after completion, where loads are not known
constexpr double kMinFactor = 1.4;
constexpr double kMaxFactor = 2.5;
}  // namespace

Exposure exposureOf(double share, std::size_t candidateRunners) {
  const double allowed = share * kAllowedFraction;
  const double smallService = kSmallServiceFactor / std::max(1.0, static_cast<double>(candidateRunners));
  return {allowed, allowed * kCanaryFraction, std::clamp(smallService, allowed * kLoadTestFactor, kMaxLoadTestShare)};
}
LoadTestGroup loadTestGroup(std::size_t candidateRunners, double loadTestShare, const BaselineLoad& baseline) {
  const double ratio = kTargetLoad / std::max(baseline.mean, kMinBaselineLoad);
  const double unclampedFactor = baseline.runsInBatches ? std::sqrt(ratio) : ratio;
  const double factor = baseline.mean > 0 ? std::clamp(unclampedFactor, kMinFactor, kMaxFactor) : kDefaultFactor;
  const double idealRunners = static_cast<double>(candidateRunners) * loadTestShare / factor;
  const double size = std::max(1.0, std::floor(idealRunners));
  return {static_cast<std::size_t>(size), std::min(1.0, size / idealRunners)};
}
}  // namespace zinccleat::rollout
