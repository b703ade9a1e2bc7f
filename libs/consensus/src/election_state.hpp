/// What a member keeps for standing in elections and for starting them.
#pragma once
#include <set>

#include "consensus/cluster_config.hpp"
#include "persistence_queue.hpp"
namespace zinccleat::consensus {
/// Invariants: `votes` holds only votes for this member in the current term, and is empty unless it stands in that
/// term; its own vote joins them only once `ownVoteTicket` is on the disk. `preVotes` holds only those of the present
/// pre-vote. A pre-vote does not end the election that it hopes to replace: the votes of that one still count
/// meanwhile.
struct ElectionState {
  TimePoint timeoutAt{};            ///< a member that hears no leader until then starts a pre-vote
  TimePoint suppressedUntil{};      ///< no election before that: the leadership was just transferred away
  TimePoint lastVoteRequestAt{};    ///< when the pre-vote was last requested
  bool preVoting = false;           ///< a candidate in the pre-vote, which has not entered the new term yet
  std::set<MemberId> preVotes;      ///< who would vote for this member in the next term
  std::set<MemberId> votes;         ///< who has voted for this member in the current term
  PersistTicket ownVoteTicket = 0;  ///< the record with the vote for itself
  PersistTicket voteTicket = 0;     ///< the record with this member's newest vote, for whomever
  /// The leader of this term has transferred its leadership to this candidate; 0: no transfer.
  std::int64_t transferredTerm = 0;
  bool transferAccepted = false;  ///< the next election starts on behalf of the present leader
};
}  // namespace zinccleat::consensus
