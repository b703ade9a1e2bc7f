// The leader: writes, the commit rule, the lease, and the sending side of a leadership transfer.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr int kRecentlyHeardWithinHeartbeats = 4;  // a peer that is silent for longer is not in contact
constexpr int kSuppressedElectionTimeouts = 3;     // after a transfer, a former leader starts no election for this long
}  // namespace

void RaftCore::tickLeader(TimePoint now) {
  if (leaseValid(now))
    leading.lastQuorumAt = now;
  else if (now - leading.lastQuorumAt > options.lease + options.electionTimeout)
    return stepDown(now);
  trackCommitAheadOfDisk(now);
  if (diskStalled() && quorumCommitsMuchFasterThanOwnDisk(now))
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
  // An uncommitted write with the same operation id is the same write, sent again.
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
// Commits all entries that a quorum has on disk, provided that the last of them is of the current term. An entry of an
// earlier term is committed only together with a later entry of the current term; until then another leader could
// still replace the earlier entry (Raft paper, section 5.4.2).
void RaftCore::advanceCommit(TimePoint now) {
  auto index = leading.indexOnQuorum(log.config(), self, log.persistedIndex());
  if (options.faults.commitWithoutMajority)
    index = log.persistedIndex();
  if (index <= log.commitIndex() || log.termAt(index) != term.current)
    return;
  commitUpTo(index);
  sendHeartbeats(now);  // heartbeats contain the commit index, so followers apply the entries at once
  const bool configCommitted = log.configIndex() <= log.commitIndex();
  if (configCommitted && !isVoter())
    stepDown(now);  // the committed configuration has removed this leader from the voters
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
bool RaftCore::quorumCommitsMuchFasterThanOwnDisk(TimePoint now) const {
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
  stepDown(now);  // ends this leader's lease before the successor can obtain one
  election.suppressedUntil = now + options.electionTimeout * kSuppressedElectionTimeouts;
  election.timeoutAt += options.electionTimeout;
  send(successor, TransferLeadership{term.current});
  log::error("leadership_transferred", {{"member", self}, {"peer", successor}, {"term", term.current}});
}
}  // namespace zinccleat::consensus
