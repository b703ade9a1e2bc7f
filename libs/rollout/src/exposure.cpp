#include "rollout/exposure.hpp"

#include <algorithm>
#include <cmath>

namespace zinccleat::rollout {
namespace {
// Fraction of the deployment's share that is used. The rest is a reserve for late reports and for requests that reach
// the candidate without a token.
constexpr double kAllowedFraction = 0.7;
constexpr double kCanaryFraction = 0.35;  // of the allowed exposure, before the load test
// Multiple of the allowed exposure during the load test, which uses the exposure that was saved before it.
constexpr double kLoadTestFactor = 1.6;
// Load test of a small service: one runner gets this multiple of its requests after completion, until the saved
// exposure is used up.
constexpr double kSmallServiceFactor = 2.4;
constexpr double kMaxLoadTestShare = 0.6;  // of the service's requests

constexpr double kTargetLoad = 0.9;  // fraction of the slots of a runner under load test
constexpr double kMinBaselineLoad = 1e-3;
// Multiples of a runner's requests after completion that a runner under load test gets.
constexpr double kDefaultFactor = 1.5;  // if the load of the baseline is unknown
constexpr double kMinFactor = 1.4;
constexpr double kMaxFactor = 2.5;
}  // namespace

ExposureLimits exposureLimits(double share, std::size_t candidateRunners) {
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
