/// The current term of one member and what belongs to it: Raft's "persistent state on all servers" without the log.
#pragma once
#include "consensus/cluster_config.hpp"
#include "persistence_queue.hpp"
namespace zinccleat::consensus {
/// Invariants: `current` never decreases. A vote is cast once in a term and never withdrawn. `current`, `votedFor` and
/// `lastLed` stand in every disk record, so a restart loses none of them once that record is synced.
struct TermState {
  std::int64_t current = 0;  ///< Raft's currentTerm
  MemberId votedFor;         ///< the candidate that got this member's vote in `current`; empty: none
  std::int64_t lastLed = 0;  ///< the newest term in which this member was the leader; 0: none
  PersistTicket ticket = 0;  ///< the disk record that holds `current`
  /// This process started from a disk and has not led since: a lease that the member held before is void.
  bool restarted = false;
};
}  // namespace zinccleat::consensus
