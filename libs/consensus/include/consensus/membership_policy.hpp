// Which machines should vote, decided by the leader from what it sees of them. Pure.
//
// The number of voters is odd wherever that can be: an even number bears no more losses than the odd one below it.
// A machine beyond that number follows the log without a vote, ready to replace a voter at once. What the choice
// bears at each step stands as a table in docs/consensus.md, with a test for each row.
#pragma once
#include "consensus/cluster_config.hpp"
namespace zinccleat::consensus {
enum class VoterHealth {
  healthy,
  silent,     // has not been heard for `RaftOptions::unreachableAfter`
  leaving,    // has asked to leave
  superseded  // its machine runs again with an empty disk, under another identity: it never comes back
};
struct VoterStatus {
  MemberId id;
  VoterHealth health = VoterHealth::healthy;
};
// The set of voters to move to; equal to the present one where nothing is to be changed. `voters`: the present ones,
// the leader first. `learners`: those that are caught up and answer, in the order of preference. `maxVoters`: more
// machines than this only follow.
std::vector<MemberId> chooseVoters(const std::vector<VoterStatus>& voters, const std::vector<MemberId>& learners,
                                   std::size_t maxVoters);
}  // namespace zinccleat::consensus
