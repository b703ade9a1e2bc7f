/// Which machines should vote, decided by the leader from what it sees of them. A pure function.
///
/// The number of voters is odd wherever that can be: an even number tolerates no more losses than the odd one below
/// it. A machine beyond that number is a learner, ready to replace a voter at once. What the choice tolerates at each
/// step stands as a table in docs/consensus.md, with a test for each row.
#pragma once
#include "consensus/cluster_config.hpp"
namespace zinccleat::consensus {
enum class VoterHealth {
  healthy,
  unreachable,  ///< has not been heard for `RaftOptions::unreachableAfter`
  leaving,      ///< has asked to leave
  superseded    ///< its machine runs again with an empty disk, under another identity: it never comes back
};
struct VoterStatus {
  MemberId id;
  VoterHealth health = VoterHealth::healthy;
};
/// The set of voters to move to; equal to the present one where nothing is to be changed.
/// @param voters the present ones, the leader first.
/// @param learners those that are caught up and in contact, in the order of preference.
/// @param maxVoters machines beyond this number stay learners.
std::vector<MemberId> chooseVoters(const std::vector<VoterStatus>& voters, const std::vector<MemberId>& learners,
                                   std::size_t maxVoters);
}  // namespace zinccleat::consensus
