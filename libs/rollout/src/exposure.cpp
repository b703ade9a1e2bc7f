#include "rollout/exposure.hpp"

#include <algorithm>
#include <cmath>

namespace zinccleat::rollout {
namespace {
constexpr double kAllowedPart = 0.7;   // of the share that is allowed: reports are late, and requests go astray
constexpr double kCanaryPart = 0.35;   // of that, before the load test
constexpr double kLoadTestPart = 1.6;  // of that, in the load test, which spends what was saved
// The load test of a small service: one runner gets so many times the requests that it would have after completion. It
// lasts as long as what was saved for it.
constexpr double kSmallServiceRequests = 2.4;
constexpr double kMaxLoadTest = 0.6;

constexpr double kWantedLoad = 0.9;  // of the slots
constexpr double kLeastLoad = 1e-3;
constexpr double kUnknownFactor = 1.5;  // times the requests after completion, where loads are not known
constexpr double kMinFactor = 1.4;
constexpr double kMaxFactor = 2.5;
}  // namespace

Exposure exposureOf(double share, std::size_t candidateRunners) {
  const double allowed = share * kAllowedPart;
  const double smallService = kSmallServiceRequests / std::max(1.0, static_cast<double>(candidateRunners));
  return {allowed, allowed * kCanaryPart, std::clamp(smallService, allowed * kLoadTestPart, kMaxLoadTest)};
}
LoadTestGroup loadTestGroup(std::size_t candidateRunners, double loadTestPart, const BaselineLoad& baseline) {
  const double ratio = kWantedLoad / std::max(baseline.mean, kLeastLoad);
  const double wantedFactor = baseline.runsInBatches ? std::sqrt(ratio) : ratio;
  const double factor = baseline.mean > 0 ? std::clamp(wantedFactor, kMinFactor, kMaxFactor) : kUnknownFactor;
  const double wanted = static_cast<double>(candidateRunners) * loadTestPart / factor;
  const double size = std::max(1.0, std::floor(wanted));
  return {static_cast<std::size_t>(size), std::min(1.0, size / wanted)};
}
}  // namespace zinccleat::rollout
