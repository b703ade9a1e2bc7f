#include "balancing/runner_choice.hpp"

#include "balancing/runner_load.hpp"

namespace zinccleat::balancing {
namespace {
constexpr double kPromptSmoothing = 0.02;

// Costs of the choice by prefix affinity. The unit is one prompt token that is waiting to be computed.
constexpr double kRecomputedTokenCost = 4;  // per prefix token that has to be computed again
constexpr double kLoadCost = 2000;          // at full load, proportional below: a larger batch slows all its streams
constexpr double kNearlyFull = 0.9;         // load above which new requests have to wait for a slot
constexpr double kNearlyFullCost = 5000;    // added once the load exceeds `kNearlyFull`
constexpr double kOverloadCost = 50000;     // per unit of load above `kNearlyFull`
constexpr double kOtherZoneCost = 700;
constexpr double kOtherRegionCost = 30000;  // another region is chosen only if all near runners are busy
constexpr std::uint64_t kTieBreakTokens = 100;

// Costs of the choice by load, as fractions of a runner's slots. They keep requests in the proxy's own zone until its
// runners are busy.
constexpr double kOtherZonePenalty = 0.3;
constexpr double kOtherRegionPenalty = 1.0;
constexpr std::uint64_t kTieBreakSteps = 100;
constexpr double kTieBreakLoad = 1e-4;
}  // namespace

double LeastLoadedChoice::distancePenalty(const RunnerMembership& runners, int index, const RunnerQuery& query) const {
  const auto& zone = runners.at(index).zone;
  if (zone == query.zone)
    return 0;
  return runners.sameRegion(zone, query.zone) ? kOtherZonePenalty : kOtherRegionPenalty;
}

int LeastLoadedChoice::choose(const RunnerMembership& runners, const RunnerQuery& query,
                              const std::vector<int>& candidates, TimePoint now, std::mt19937_64& random) const {
  int best = -1;
  double lowestCost = 0;
  for (int index : candidates) {
    const double tieBreak = static_cast<double>(random() % kTieBreakSteps) * kTieBreakLoad;
    const double cost = loadOf(runners.at(index), now) + tieBreak + distancePenalty(runners, index, query);
    if (best < 0 || cost < lowestCost) {
      best = index;
      lowestCost = cost;
    }
  }
  return best;
}

// Rendezvous hashing: chooses the runner with the highest hash of runner id and prefix. Only runners in the proxy's own
// region are considered if there are any.
int PrefixAffinityChoice::preferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                                          const std::vector<int>& candidates) const {
  if (!query.affinity)
    return -1;
  const bool inRegion = std::any_of(candidates.begin(), candidates.end(),
                                    [&](int i) { return runners.sameRegion(runners.at(i).zone, query.zone); });
  int preferred = -1;
  std::uint64_t highest = 0;
  for (int index : candidates) {
    if (inRegion && !runners.sameRegion(runners.at(index).zone, query.zone))
      continue;
    const auto rank = hash64(runners.at(index).id, query.affinity);
    if (preferred < 0 || rank > highest) {
      preferred = index;
      highest = rank;
    }
  }
  return preferred;
}

void PrefixAffinityChoice::recordPromptLength(std::int64_t promptTokens) {
  if (promptTokens > 0)
    meanPromptTokens_ =
        meanPromptTokens_ * (1 - kPromptSmoothing) + static_cast<double>(promptTokens) * kPromptSmoothing;
}

double PrefixAffinityChoice::affinityCost(const RunnerMembership& runners, int index, bool isPreferred,
                                          const RunnerQuery& query, TimePoint now) const {
  const auto& endpoint = runners.at(index);
  auto cost = static_cast<double>(endpoint.prefillTokens);
  if (hasFreshLoadReport(endpoint, now))
    cost += std::max(0, endpoint.reportedWaiting - endpoint.prefillingAtReport) * meanPromptTokens_;
  const double fraction = loadOf(endpoint, now);
  cost += fraction * kLoadCost;
  if (fraction > kNearlyFull)
    cost += kOverloadCost * (fraction - kNearlyFull) + kNearlyFullCost;
  if (!isPreferred)
    cost += static_cast<double>(query.sharedTokens) * kRecomputedTokenCost;
  if (endpoint.zone != query.zone)
    cost += runners.sameRegion(endpoint.zone, query.zone) ? kOtherZoneCost : kOtherRegionCost;
  return cost;
}

int PrefixAffinityChoice::choose(const RunnerMembership& runners, const RunnerQuery& query,
                                 const std::vector<int>& candidates, TimePoint now, std::mt19937_64& random) const {
  const int preferred = preferredRunner(runners, query, candidates);
  int best = -1;
  double lowestCost = 0;
  for (int index : candidates) {
    const double cost =
        affinityCost(runners, index, index == preferred, query, now) + static_cast<double>(random() % kTieBreakTokens);
    if (best < 0 || cost < lowestCost) {
      best = index;
      lowestCost = cost;
    }
  }
  return best;
}
}  // namespace zinccleat::balancing
