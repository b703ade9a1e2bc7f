// The leader: writes, the commit rule, its lease, and giving the leadership away.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr int kRecentlyHeardWithinHeartbeats = 4;  // a peer unheard for longer is not in contact
constexpr int kSuppressedElectionTimeouts = 3;     // a leader that hands over starts no election for so long
}  // namespace

void RaftCore::tickLeader(TimePoint now) {
  if (leaseValid(now))
    leading.lastQuorumAt = now;
  else if (now - leading.lastQuorumAt > options.lease + options.electionTimeout)
    return stepDown(now);
  trackCommitAheadOfDisk(now);
  if (diskStalled() && commitsMuchFasterThanOwnDisk(now))
    return transferLeadership(now);
  tickMembership(now);
  if (role == Role::leader && now - leading.lastHeartbeatAt >= options.heartbeatInterval)
    sendHeartbeats(now);
}
void RaftCore::stepDown(TimePoint now) {
  follower.leader.clear();
  setRole(passiveRole());
  resetElectionTimer(now);
}
bool RaftCore::submit(TimePoint now, transport::LogEntry entry) {
  if (role != Role::leader || !bodies.restoreBody(entry))
    return false;
  // A retry of a write that is not committed yet is that write.
  for (auto index = log.commitIndex() + 1; index <= log.lastLogIndex(); ++index)
    if (log.at(index)->operationId == entry.operationId)
      return true;
  appendAsLeader(now, std::move(entry));
  replicate(now);
  return true;
}
void RaftCore::appendAsLeader(TimePoint now, transport::LogEntry entry) {
  entry.term = term.current;
  entry.index = log.lastLogIndex() + 1;
  const bool changesConfig = entry.op() == transport::OperationKind::membership;
  log.append(entry);
  if (changesConfig)
    for (const auto& voter : log.config().allVoters())
      if (voter != self && !leading.peers.contains(voter))
        trackPeer(now, voter);
  const auto index = entry.index;
  persist(index, {std::move(entry)});
}
TimePoint RaftCore::leaseEnd() const {
  const auto promisedSince = leading.leasePromisedByQuorumSince(log.config(), self);
  if (promisedSince == TimePoint{} || promisedSince == TimePoint::max())
    return promisedSince;
  return promisedSince + options.lease - options.leaseMargin;
}
bool RaftCore::leaseValid(TimePoint now) const {
  const bool mayLead = role == Role::leader || options.faults.leaseOutlivesStepDown;
  return mayLead && now < leaseEnd();
}
// Commits what a quorum has on disk, as far as it ends in an entry of the current term: an entry of an earlier term
// counts only together with a later one of this term, since until then another leader could still replace it.
void RaftCore::advanceCommit(TimePoint now) {
  auto index = leading.indexOnQuorum(log.config(), self, log.persistedIndex());
  if (options.faults.commitWithoutMajority)
    index = log.persistedIndex();
  if (index <= log.commitIndex() || log.termAt(index) != term.current)
    return;
  commitUpTo(index);
  sendHeartbeats(now);  // they carry the commit index, so that followers apply the entries at once
  const bool configCommitted = log.configIndex() <= log.commitIndex();
  if (configCommitted && !isVoter())
    stepDown(now);  // removed from the voters while leading them
}
bool RaftCore::recentlyHeard(TimePoint now, const PeerProgress& progress) const {
  return now - progress.lastHeardAt < options.heartbeatInterval * kRecentlyHeardWithinHeartbeats;
}
void RaftCore::trackCommitAheadOfDisk(TimePoint now) {
  if (log.commitIndex() <= log.persistedIndex())
    leading.commitAheadOfDiskSince = {};
  else if (leading.commitAheadOfDiskSince == TimePoint{})
    leading.commitAheadOfDiskSince = now;
}
bool RaftCore::commitsMuchFasterThanOwnDisk(TimePoint now) const {
  if (leading.commitAheadOfDiskSince == TimePoint{})
    return false;
  constexpr int kMinSpeedRatio = 3;
  const auto ahead = toDuration(now - leading.commitAheadOfDiskSince);
  return persistence.oldestFailed() || ahead * kMinSpeedRatio >= persistence.oldestAge() * (kMinSpeedRatio - 1);
}
MemberId RaftCore::bestSuccessor(TimePoint now) const {
  MemberId best;
  std::int64_t highestMatch = -1;
  for (const auto& voter : log.config().allVoters()) {
    const auto* peer = leading.find(voter);
    if (!peer || !recentlyHeard(now, *peer) || isLeaving(now, *peer) || peer->matchIndex <= highestMatch)
      continue;
    highestMatch = peer->matchIndex;
    best = voter;
  }
  return best;
}
void RaftCore::transferLeadership(TimePoint now) {
  const auto successor = bestSuccessor(now);
  if (successor.empty())
    return;
  stepDown(now);  // the lease ends here, before the successor may start one
  election.suppressedUntil = now + options.electionTimeout * kSuppressedElectionTimeouts;
  election.timeoutAt += options.electionTimeout;
  send(successor, TransferLeadership{term.current});
  log::error("leadership_transferred", {{"member", self}, {"peer", successor}, {"term", term.current}});
}
}  // namespace zinccleat::consensus
