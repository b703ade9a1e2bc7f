/// @file
/// While a service is being rolled out: the part of a revision's runners that its requests use. Pure. Not thread safe.
#pragma once
#include "balancing/runner_choice.hpp"
namespace zinccleat::balancing {
/// See the file's comment.
class RevisionLimit {
 public:
  /// Whether only a part of the eligible runners is used.
  static bool appliesTo(const rollout::RevisionFilter& revisions);
  /// The runners that a filter leaves by its `runnerShare` or `loadTestGroup`, the same at all proxies. None for some
  /// requests of a load test, at random: its group would be overloaded.
  std::vector<int> selectRunners(const RunnerMembership& runners, const RunnerQuery& query, TimePoint now,
                              std::mt19937_64& random) const;
  /// Whether the runner that a request's prefix prefers among all eligible ones is one of these.
  bool includesPreferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                          const std::vector<int>& withinLimit, const PrefixAffinityChoice& affinity) const;

 private:
  /// The mean load of the runners of other revisions than the filter's that have reported lately; 0: too few have.
  double meanLoadOfOtherRevisions(const RunnerMembership& runners, const RunnerQuery& query, TimePoint now) const;
};
}  // namespace zinccleat::balancing
