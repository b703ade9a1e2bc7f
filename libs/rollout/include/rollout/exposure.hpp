/// @file
/// Which part of a service's requests an unproven candidate may get in each stage of the canary, and how many of its
/// runners share it. Pure; the leader and the proxies reckon alike.
#pragma once
#include <cstddef>
namespace zinccleat::rollout {
/// Parts of all requests.
struct Exposure {
  double allowed = 0;   ///< over the canary as one; what is not spent early is left for the load test
  double canary = 0;    ///< before the load test
  double loadTest = 0;  ///< during it, as far as the allowed part suffices
};
/// @param share the deployment's `exposureShare`.
/// @param candidateRunners in service.
Exposure exposureOf(double share, std::size_t candidateRunners);

/// A group of the candidate's runners that is loaded fully.
struct LoadTestGroup {
  std::size_t runners = 0;
  double requestFraction = 1;  ///< of the requests that the load test may have; more would overload so few runners
};
/// The load of the baseline's runners now.
struct BaselineLoad {
  double mean = 0;             ///< as a part of their slots; 0: not known
  bool runsInBatches = false;  ///< each request slows those beside it, so that load grows faster than requests do
};
/// The group has so few runners that each gets more requests than it would after completion. How much more follows from
/// the load that runners of the baseline have: it should come near the load at which a runner is full.
LoadTestGroup loadTestGroup(std::size_t candidateRunners, double loadTestShare, const BaselineLoad& baseline);
}  // namespace zinccleat::rollout
