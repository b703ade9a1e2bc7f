/// @file
/// Two strategies for choosing among the candidate runners of a request. Both draw one random number for each candidate
/// to break ties. No I/O. Not thread safe.
#pragma once
#include <random>

#include "balancing/runner_membership.hpp"
namespace zinccleat::balancing {
/// Chooses the least loaded runner. A runner in another zone is chosen only if the runners of the proxy's own zone are
/// busy.
class LeastLoadedChoice {
 public:
  /// @return the index of one of `candidates`; -1 if there are none.
  int choose(const RunnerMembership& runners, const RunnerQuery& query, const std::vector<int>& candidates,
             TimePoint now, std::mt19937_64& random) const;

 private:
  double distancePenalty(const RunnerMembership& runners, int index, const RunnerQuery& query) const;
};

/// Rendezvous hashing with bounded load. All proxies rank the runners for a shared prompt prefix in the same order
/// without communicating. A request goes to a runner other than the preferred one only if the backlog of the preferred
/// runner costs more than computing the prefix again on another runner.
class PrefixAffinityChoice {
 public:
  /// @return the index of one of `candidates`; -1 if there are none.
  int choose(const RunnerMembership& runners, const RunnerQuery& query, const std::vector<int>& candidates,
             TimePoint now, std::mt19937_64& random) const;
  /// The index of the candidate that the request's prompt prefix prefers; -1 if there is no prefix or no candidate.
  int preferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                      const std::vector<int>& candidates) const;
  /// Updates the mean prompt length with a request that has started. The mean estimates the cost of a waiting request
  /// whose prompt length is unknown.
  void recordPromptLength(std::int64_t promptTokens);

 private:
  double affinityCost(const RunnerMembership& runners, int index, bool isPreferred, const RunnerQuery& query,
                      TimePoint now) const;
  double meanPromptTokens_ = 1000;
};
}  // namespace zinccleat::balancing
