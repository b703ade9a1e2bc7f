/// @file
/// The part of a service's requests that an unproven candidate may get in each stage of the canary phase, and the
/// number of the candidate's runners that share these requests. Pure functions; the leader and the proxies compute the
/// same values.
#pragma once
#include <cstddef>
namespace zinccleat::rollout {
/// Limits for the candidate, as fractions of all requests of the service.
struct ExposureLimits {
  double allowed = 0;   ///< in the whole canary phase; requests not used before the load test remain available for it
  double canary = 0;    ///< before the load test
  double loadTest = 0;  ///< during the load test, as long as `allowed` is not exceeded
};
/// @param share the deployment's `exposureShare`.
/// @param candidateRunners number of the candidate's runners in service.
ExposureLimits exposureLimits(double share, std::size_t candidateRunners);

/// The size of a group of the candidate's runners under load test, and its part of the requests.
struct LoadTestGroup {
  std::size_t runners = 0;
  double requestFraction = 1;  ///< of the load test's requests that the group gets; more would overload the group
};
/// The current load of the baseline's runners.
struct BaselineLoad {
  double mean = 0;             ///< as a fraction of their slots; 0: unknown
  bool runsInBatches = false;  ///< concurrent requests slow each other, so load grows faster than the request rate
};
/// Computes the group of a load test. The group is so small that each runner gets more requests than after completion
/// of the rollout. The factor follows from the load of the baseline's runners: the load of the group should come close
/// to the load of a full runner.
/// @param loadTestShare `ExposureLimits::loadTest`.
LoadTestGroup loadTestGroup(std::size_t candidateRunners, double loadTestShare, const BaselineLoad& baseline);
}  // namespace zinccleat::rollout
