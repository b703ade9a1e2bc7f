/// The choice of voters, which the leader makes from the health of the machines. A pure function.
///
/// The number of voters is odd wherever possible: an even number tolerates no more losses than the odd number below it.
/// Each further machine stays a learner, which can replace a voter at once. A table in docs/consensus.md lists the
/// losses that are tolerated at each step; each row has a test.
#pragma once
#include "consensus/cluster_config.hpp"
namespace zinccleat::consensus {
enum class VoterHealth {
  healthy,
  unreachable,  ///< has sent nothing for `RaftOptions::unreachableAfter`
  leaving,      ///< has asked to leave
  superseded    ///< the machine runs again with an empty disk under a new identity; the old identity never returns
};
struct VoterStatus {
  MemberId id;
  VoterHealth health = VoterHealth::healthy;
};
/// Chooses the next set of voters.
/// @param voters the present voters, the leader first.
/// @param learners the learners that are caught up and in contact, in order of preference.
/// @param maxVoters the largest number of voters; further machines stay learners.
/// @return the present set if no change is needed.
std::vector<MemberId> chooseVoters(const std::vector<VoterStatus>& voters, const std::vector<MemberId>& learners,
                                   std::size_t maxVoters);
}  // namespace zinccleat::consensus
