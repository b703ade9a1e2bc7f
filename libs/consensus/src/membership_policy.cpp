#include "consensus/membership_policy.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMinVoters = 3;  // with fewer, a single lost disk could lose acknowledged writes

// The unhealthy voters, any of which may be kept to reach an odd number of voters. The voters that are most likely to
// return come first.
std::vector<MemberId> unhealthyByLikelihoodOfReturn(const std::vector<VoterStatus>& voters) {
  std::vector<MemberId> ordered;
  for (const auto health : {VoterHealth::unreachable, VoterHealth::leaving, VoterHealth::superseded})
    for (const auto& voter : voters)
      if (voter.health == health)
        ordered.push_back(voter.id);
  return ordered;
}
std::size_t largestOddUpTo(std::size_t count) {
  return count % 2 == 1 ? count : count - 1;
}
// With an even number of healthy machines, adding one unhealthy voter tolerates as many losses as removing one healthy
// machine. The unhealthy voter is preferred: if it is only restarting, the configuration need not change.
std::size_t targetVoterCount(std::size_t healthy, std::size_t present, bool anyUnhealthy) {
  if (healthy % 2 == 1)
    return healthy;
  if (anyUnhealthy && healthy + 1 <= present)
    return healthy + 1;
  return healthy > 0 ? healthy - 1 : 0;
}
}  // namespace

std::vector<MemberId> chooseVoters(const std::vector<VoterStatus>& voters, const std::vector<MemberId>& learners,
                                   std::size_t maxVoters) {
  std::vector<MemberId> candidates;
  for (const auto& voter : voters)
    if (voter.health == VoterHealth::healthy)
      candidates.push_back(voter.id);
  candidates.insert(candidates.end(), learners.begin(), learners.end());
  const auto unhealthy = unhealthyByLikelihoodOfReturn(voters);

  auto target = targetVoterCount(candidates.size(), voters.size(), !unhealthy.empty());
  target = std::min(target, largestOddUpTo(maxVoters));
  target = std::max(target, std::min(kMinVoters, voters.size()));

  auto chosen = candidates;
  if (chosen.size() > target)
    chosen.resize(target);
  for (const auto& member : unhealthy)
    if (chosen.size() < target)
      chosen.push_back(member);
  return chosen;
}
}  // namespace zinccleat::consensus
