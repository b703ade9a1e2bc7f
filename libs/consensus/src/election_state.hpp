/// The state of a member's elections: timers, pre-votes and votes.
#pragma once
#include <set>

#include "consensus/cluster_config.hpp"
#include "persistence_queue.hpp"
namespace zinccleat::consensus {
/// Invariants: `votes` contains only votes for this member in the current term, and is empty unless this member is a
/// candidate of that term. The member's own vote is added once the record `ownVoteTicket` is synced. `preVotes`
/// contains only the responses to the current pre-vote. A pre-vote does not end an election in progress: votes of that
/// election still count until a new term is entered.
struct ElectionState {
  TimePoint timeoutAt{};            ///< the election timeout; without a message of a leader, a pre-vote starts then
  TimePoint suppressedUntil{};      ///< no election before this time, after this member transferred its leadership
  TimePoint lastVoteRequestAt{};    ///< when pre-votes were last requested
  bool preVoting = false;           ///< this member is a candidate that has not entered the new term yet
  std::set<MemberId> preVotes;      ///< members that would vote for this member in the next term
  std::set<MemberId> votes;         ///< members that have voted for this member in the current term
  PersistTicket ownVoteTicket = 0;  ///< the record with this member's newest vote for itself
  PersistTicket voteTicket = 0;     ///< the record with this member's newest vote for any candidate
  /// The term whose leader has transferred the leadership to this candidate; 0: no transfer.
  std::int64_t transferredTerm = 0;
  bool transferAccepted = false;  ///< the next election is the result of a leadership transfer
};
}  // namespace zinccleat::consensus
