#include "raft_core.hpp"

#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
std::string_view nameOf(Role role) {
  switch (role) {
    case Role::learner:
      return "learner";
    case Role::follower:
      return "follower";
    case Role::candidate:
      return "candidate";
    case Role::leader:
      return "leader";
  }
  return "unknown";
}

RaftCore::RaftCore(MemberId member, RaftOptions raftOptions, std::uint64_t seed)
    : self(std::move(member)),
      options(std::move(raftOptions)),
      random(static_cast<std::minstd_rand::result_type>(seed ^ (seed >> 32))) {}

void RaftCore::setRole(Role next) {
  if (role == next)
    return;
  role = next;
  log::debug("role_changed", {{"member", self}, {"role", nameOf(role)}, {"term", term.current}});
}
void RaftCore::updatePassiveRole() {
  if (role == Role::learner || role == Role::follower)
    setRole(passiveRole());
}
void RaftCore::send(const MemberId& to, ConsensusMessage message, PersistTicket after) {
  DeferredMessage outgoing{to, std::move(message), term.current, after};
  if (persistence.defer(outgoing))
    return;
  actions.emplace_back(SendMessage{std::move(outgoing.to), std::move(outgoing.message)});
}
// Required for progress. If the two remaining voters are one with the newer term and one with the longer log, only the
// voter with the longer log can be elected. Its vote requests are rejected until it starts an election in a term above
// the newer one, so it must learn of the newer term.
void RaftCore::sendCurrentTerm(const MemberId& to) {
  AppendEntriesResponse response;
  response.term = term.current;
  send(to, response, term.recordTicket);
}
void RaftCore::enterTerm(TimePoint now, std::int64_t newTerm, const MemberId& voteFor) {
  term.current = newTerm;
  term.votedFor = voteFor;
  follower.leader.clear();
  follower.matchIndex = 0;
  election.preVoting = false;
  election.votes.clear();
  setRole(passiveRole());
  resetElectionTimer(now);
  term.recordTicket = persist(0, {});
}
void RaftCore::resetElectionTimer(TimePoint now) {
  const auto spread = static_cast<std::uint64_t>(std::max<std::int64_t>(1, options.electionTimeoutSpread.count()));
  const Duration jitter(static_cast<std::int64_t>(random() % spread));
  election.timeoutAt = now + options.electionTimeout + jitter + syncAllowance();
}
// An election waits for a sync on the voter's disk and for one on the candidate's. The sync time of other members is
// unknown; it is assumed to equal this member's last sync time. The election timeout covers usual syncs of up to two
// ticks without an allowance.
Duration RaftCore::syncAllowance() const {
  const auto lastSync = persistence.lastSyncTime();
  return lastSync <= options.tickInterval * 2 ? Duration(0) : std::min(lastSync, options.syncStallTimeout);
}
void RaftCore::commitUpTo(std::int64_t index) {
  const auto last = std::min(index, log.lastLogIndex());
  while (log.commitIndex() < last)
    actions.emplace_back(ApplyEntry{log.commitNext()});
}
}  // namespace zinccleat::consensus
