/// @file
/// Restricts the requests for one revision to a subset of that revision's runners during a rollout. No I/O. Not thread
/// safe.
#pragma once
#include "balancing/runner_choice.hpp"
namespace zinccleat::balancing {
/// Selects the subset of a revision's runners that requests may use.
class RevisionLimit {
 public:
  /// Whether the filter restricts requests to a subset of the eligible runners.
  static bool appliesTo(const rollout::RevisionFilter& revisions);
  /// The runners that the query's filter permits by its `runnerShare` or `loadTestGroup`. All proxies select the same
  /// runners. For a load test the result is empty for some requests, chosen at random, because the test's group of
  /// runners could not handle all of them.
  std::vector<int> selectRunners(const RunnerMembership& runners, const RunnerQuery& query, TimePoint now,
                                 std::mt19937_64& random) const;
  /// Whether `withinLimit` contains the runner that the request's prompt prefix prefers among all eligible runners.
  bool includesPreferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                               const std::vector<int>& withinLimit, const PrefixAffinityChoice& affinity) const;

 private:
  /// The mean load of the runners that the filter does not match and that have a fresh load report; 0 if there are too
  /// few such runners.
  double meanLoadOfOtherRevisions(const RunnerMembership& runners, const RunnerQuery& query, TimePoint now) const;
};
}  // namespace zinccleat::balancing
