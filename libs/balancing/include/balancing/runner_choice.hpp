/// @file
/// Two ways to choose among runners that may get a request. Both draw random numbers to break ties, one for each
/// candidate. Pure. Not thread safe.
#pragma once
#include <random>

#include "balancing/runner_membership.hpp"
namespace zinccleat::balancing {
/// The least loaded runner; the own zone is left only once it is busy.
class LeastLoadedChoice {
 public:
  /// @return the index of one of `candidates`; -1 if there are none.
  int choose(const RunnerMembership& runners, const RunnerQuery& query, const std::vector<int>& candidates,
             TimePoint now, std::mt19937_64& random) const;

 private:
  double distancePenalty(const RunnerMembership& runners, int index, const RunnerQuery& query) const;
};

/// Rendezvous hashing with bounded load: all proxies rank the runners of a shared prefix alike without talking to each
/// other, and a request leaves the prefix's preferred runner only if that runner's backlog costs more than computing
/// the prefix again elsewhere would.
class PrefixAffinityChoice {
 public:
  /// @return the index of one of `candidates`; -1 if there are none.
  int choose(const RunnerMembership& runners, const RunnerQuery& query, const std::vector<int>& candidates,
             TimePoint now, std::mt19937_64& random) const;
  /// The candidate that the request's prefix prefers; -1 without a prefix or candidates.
  int preferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                      const std::vector<int>& candidates) const;
  /// A request with so many prompt tokens has begun: the mean is what a waiting request is taken to cost.
  void recordPromptLength(std::int64_t promptTokens);

 private:
  double affinityCost(const RunnerMembership& runners, int index, bool isPreferred, const RunnerQuery& query,
                      TimePoint now) const;
  double meanPromptTokens_ = 1000;
};
}  // namespace zinccleat::balancing
