#include "balancing/revision_limit.hpp"

#include <cmath>

#include "balancing/runner_load.hpp"
#include "rollout/exposure.hpp"

namespace zinccleat::balancing {
namespace {
constexpr std::size_t kMinRunnersWithinShare = 3;  // requests must still find runners if one crashes
constexpr std::uint64_t kShareSeed = 0x726f6c6c;   // makes this ranking independent of the ranking by prompt prefix
constexpr int kMinLoadReports = 3;                 // fewer load reports are not enough for a mean

bool contains(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}
}  // namespace

bool RevisionLimit::appliesTo(const rollout::RevisionFilter& revisions) {
  return revisions.runnerShare < 1 || revisions.loadTestGroup > 0;
}

std::vector<int> RevisionLimit::selectRunners(const RunnerMembership& runners, const RunnerQuery& query, TimePoint now,
                                              std::mt19937_64& random) const {
  auto eligible = runners.eligibleRunners(query);
  const auto rank = [&](int index) { return hash64(runners.at(index).id, kShareSeed); };
  std::sort(eligible.begin(), eligible.end(), [&](int one, int other) { return rank(one) < rank(other); });
  const auto& revisions = query.revisions;
  if (revisions.loadTestGroup <= 0) {
    const double wanted = std::ceil(static_cast<double>(eligible.size()) * revisions.runnerShare);
    eligible.resize(std::min(eligible.size(), std::max(kMinRunnersWithinShare, static_cast<std::size_t>(wanted))));
    return eligible;
  }
  const double part = rollout::exposureLimits(revisions.exposureShare, eligible.size()).loadTest;
  const rollout::BaselineLoad baseline{meanLoadOfOtherRevisions(runners, query, now), query.hasPrefixCache};
  const auto group = rollout::loadTestGroup(eligible.size(), part, baseline);
  std::vector<int> members;
  if (std::uniform_real_distribution<double>(0, 1)(random) >= group.requestFraction)
    return members;
  const auto first = static_cast<std::size_t>(revisions.loadTestGroup - 1) * group.runners;
  for (std::size_t i = 0; i < std::min(group.runners, eligible.size()); ++i)
    members.push_back(eligible[(first + i) % eligible.size()]);
  return members;
}

double RevisionLimit::meanLoadOfOtherRevisions(const RunnerMembership& runners, const RunnerQuery& query,
                                               TimePoint now) const {
  double sum = 0;
  int count = 0;
  for (const auto& endpoint : runners.endpoints()) {
    const bool isOther =
        endpoint.present && endpoint.service == query.service && !query.revisions.matches(endpoint.revision);
    if (!isOther || !hasFreshLoadReport(endpoint, now))
      continue;
    sum += loadOf(endpoint, now);
    ++count;
  }
  return count >= kMinLoadReports ? sum / count : 0;
}

// A canary request fills the prefix cache of the runner that its prefix will prefer once all runners of the revision
// are in use. A load test is exempt: its group has so few runners that most prefixes prefer a runner outside of it.
bool RevisionLimit::includesPreferredRunner(const RunnerMembership& runners, const RunnerQuery& query,
                                            const std::vector<int>& withinLimit,
                                            const PrefixAffinityChoice& affinity) const {
  if (!query.hasPrefixCache || !query.affinity || query.revisions.loadTestGroup > 0)
    return true;
  return contains(withinLimit, affinity.preferredRunner(runners, query, runners.eligibleRunners(query)));
}
}  // namespace zinccleat::balancing
