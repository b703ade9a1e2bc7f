// The leader: replication, the commit rule, its lease, and giving the leadership away.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMostBytesPerMessage = 1U << 20;
constexpr std::size_t kEntryOverhead = 100;  // bytes of an entry besides its body, roughly
constexpr std::size_t kHeartbeatsRemembered = 64;
constexpr int kHeardWithinHeartbeats = 4;
constexpr int kSnapshotResendFactor = 4;
}  // namespace

void RaftNode::Core::tickLeader(TimePoint now) {
  if (leaseValid(now))
    lastQuorumAt = now;
  else if (now - lastQuorumAt > options.lease + options.electionTimeout)
    return stepDown(now);
  if (persistence.oldestFailed() || (diskStalled() && anotherHasSyncedMore(now)))
    return transferLeadership(now);
  tickMembership(now);
  if (role == Role::leader && now - lastHeartbeatAt >= options.heartbeatInterval)
    heartbeat(now);
}
void RaftNode::Core::stepDown(TimePoint now) {
  leader.clear();
  setRole(idleRole());
  armElection(now);
}
bool RaftNode::Core::submit(TimePoint now, transport::LogEntry entry) {
  if (role != Role::leader || !fillBody(entry))
    return false;
  // A write sent again while the first is still on its way is that first write.
  for (auto number = commitIndex + 1; number <= log.lastLogIndex(); ++number)
    if (log.at(number)->operationId == entry.operationId)
      return true;
  appendAsLeader(now, std::move(entry));
  replicate(now);
  return true;
}
void RaftNode::Core::appendAsLeader(TimePoint now, transport::LogEntry entry) {
  entry.term = currentTerm;
  entry.index = log.lastLogIndex() + 1;
  const bool changesConfig = entry.op() == transport::OperationKind::members;
  log.append(entry);
  if (changesConfig)
    for (const auto& voter : log.config().allVoters())
      if (voter != self && !peers.contains(voter))
        trackPeer(now, voter);
  const auto number = entry.index;
  persist(number, {std::move(entry)});
}
void RaftNode::Core::heartbeat(TimePoint now) {
  lastHeartbeatAt = now;
  heartbeatSentAt[++heartbeatId] = now;
  while (heartbeatSentAt.size() > kHeartbeatsRemembered)
    heartbeatSentAt.erase(heartbeatSentAt.begin());
  for (auto& [peer, progress] : peers)
    sendTo(now, peer, progress, true);
}
void RaftNode::Core::replicate(TimePoint now) {
  for (auto& [peer, progress] : peers)
    sendTo(now, peer, progress, false);
}
void RaftNode::Core::sendTo(TimePoint now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue) {
  const bool unacknowledged = progress.matchIndex + 1 < progress.nextIndex;
  if (unacknowledged && now - std::max(progress.progressAt, progress.sentAt) > options.resendTimeout) {
    progress.sendWholeUpTo = std::max(progress.sendWholeUpTo, progress.nextIndex - 1);
    progress.nextIndex = progress.matchIndex + 1;
    progress.sentAt = now;
  }
  if (progress.nextIndex <= log.snapshot().number) {
    const bool waiting =
        progress.snapshotUnderWay && now - progress.sentAt < options.resendTimeout * kSnapshotResendFactor;
    if (!waiting)
      return sendSnapshot(now, peer, progress);
    if (heartbeatDue)
      sendEntries(peer, log.lastLogIndex(), {});
    return;
  }
  const auto previous = progress.nextIndex - 1;
  auto entries = nextEntries(progress);
  if (entries.empty() && !heartbeatDue)
    return;
  if (!entries.empty())
    progress.sentAt = now;
  sendEntries(peer, previous, std::move(entries));
}
void RaftNode::Core::sendSnapshot(TimePoint now, const MemberId& peer, PeerProgress& progress) {
  InstallSnapshot message;
  message.term = currentTerm;
  message.lastIncludedIndex = log.snapshot().number;
  message.lastIncludedTerm = log.snapshot().term;
  message.config = encodeConfig(log.snapshot().config);
  message.state = log.snapshot().state;
  message.commitIndex = commitIndex;
  progress.snapshotUnderWay = true;
  progress.sentAt = now;
  send(peer, std::move(message));
}
// Takes as many entries as fit one message and counts them as sent.
std::vector<transport::LogEntry> RaftNode::Core::nextEntries(PeerProgress& progress) const {
  std::vector<transport::LogEntry> entries;
  std::size_t bytes = 0;
  while (progress.nextIndex <= log.lastLogIndex() && bytes < kMostBytesPerMessage) {
    entries.push_back(*log.at(progress.nextIndex));
    auto& entry = entries.back();
    // The node that took a large write has sent its body ahead; only the numbered entry goes from here.
    const bool takenElsewhere = entry.operationId.rfind(self + "/", 0) != 0;
    const bool sentAhead = entry.body.size() > options.largeBodyBytes && !entry.digest.empty() && takenElsewhere;
    if (sentAhead && progress.nextIndex > progress.sendWholeUpTo) {
      entry.body.clear();
      entry.omitted = true;
    }
    bytes += entry.body.size() + kEntryOverhead;
    ++progress.nextIndex;
  }
  return entries;
}
void RaftNode::Core::sendEntries(const MemberId& peer, std::int64_t previous,
                                 std::vector<transport::LogEntry> entries) {
  AppendEntries message;
  message.term = currentTerm;
  message.prevLogIndex = previous;
  message.prevLogTerm = log.termAt(previous);
  message.commitIndex = commitIndex;
  message.heartbeatId = heartbeatId;
  message.leaderHasLease = leaseValid(lastTickAt);
  message.entries = std::move(entries);
  send(peer, std::move(message));
}
// Until when a quorum has promised to elect nobody else, less a margin. Each promise counts from when the heartbeat
// that it answers was sent, so that no delay on the way can lengthen it.
TimePoint RaftNode::Core::leaseEnd() const {
  const auto promisedFrom = [&](const MemberId& voter) {
    if (voter == self)
      return TimePoint::max();
    const auto peer = peers.find(voter);
    return peer == peers.end() ? TimePoint{} : peer->second.leasePromisedFrom;
  };
  const auto from = log.config().reachedByQuorum<TimePoint>(promisedFrom, TimePoint{});
  if (from == TimePoint{} || from == TimePoint::max())
    return from;
  return from + options.lease - options.leaseMargin;
}
bool RaftNode::Core::leaseValid(TimePoint now) const {
  const bool leads = role == Role::leader || options.faults.leaseOutlivesStepDown;
  return leads && now < leaseEnd();
}
void RaftNode::Core::onAppendResponse(TimePoint now, const MemberId& from, const AppendEntriesResponse& response) {
  if (response.term > currentTerm) {
    enterTerm(now, response.term);
    return;
  }
  if (role != Role::leader || response.term != currentTerm)
    return;
  const auto known = peers.find(from);
  if (known == peers.end())
    return trackPeer(now, from);
  auto& progress = known->second;
  progress.heardAt = now;
  const auto sent = heartbeatSentAt.find(response.heartbeatId);
  if (sent != heartbeatSentAt.end())
    progress.leasePromisedFrom = std::max(progress.leasePromisedFrom, sent->second);
  if (response.mismatch) {
    // A snapshot on its way will answer this.
    if (progress.snapshotUnderWay && now - progress.sentAt < options.resendTimeout)
      return;
    progress.snapshotUnderWay = false;
    progress.nextIndex = std::clamp<std::int64_t>(response.matchIndex + 1, 0, log.lastLogIndex() + 1);
    progress.sendWholeUpTo = log.lastLogIndex();
    return sendTo(now, from, progress, false);
  }
  if (response.matchIndex <= progress.matchIndex || response.matchIndex > log.lastLogIndex())
    return;
  progress.matchIndex = response.matchIndex;
  progress.progressAt = now;
  progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
  progress.snapshotUnderWay = false;
  advanceCommit(now);
  if (role == Role::leader && progress.nextIndex <= log.lastLogIndex())
    sendTo(now, from, progress, false);
}
// Commits what a quorum has on disk, as far as it ends in an entry of the present term: an entry of an earlier term
// counts only together with a later one of this term, since until then another leader could still replace it.
void RaftNode::Core::advanceCommit(TimePoint now) {
  const auto onDisk = [&](const MemberId& voter) -> std::int64_t {
    if (voter == self)
      return persistedIndex;
    const auto peer = peers.find(voter);
    return peer == peers.end() ? 0 : std::max<std::int64_t>(0, peer->second.matchIndex);
  };
  auto number = log.config().reachedByQuorum<std::int64_t>(onDisk, 0);
  if (options.faults.commitWithoutMajority)
    number = persistedIndex;
  if (number <= commitIndex || log.termAt(number) != currentTerm)
    return;
  commitUpTo(number);
  heartbeat(now);
  if (log.configIndex() <= commitIndex && !isVoter())
    stepDown(now);  // removed from the voters while leading them
}
void RaftNode::Core::trackPeer(TimePoint now, const MemberId& peer) {
  if (peer.empty() || peer == self)
    return;
  const auto [entry, added] = peers.try_emplace(peer);
  auto& progress = entry->second;
  progress.heardAt = now;
  if (!added)
    return;
  progress.nextIndex = log.lastLogIndex() + 1;
  progress.progressAt = now;
  sendTo(now, peer, progress, true);
}
bool RaftNode::Core::recentlyHeard(TimePoint now, const PeerProgress& progress) const {
  return now - progress.heardAt < options.heartbeatInterval * kHeardWithinHeartbeats;
}
// Whether another voter has synced what this one could not: else nobody's disk is better off than ours.
bool RaftNode::Core::anotherHasSyncedMore(TimePoint now) const {
  const auto voters = log.config().allVoters();
  return std::any_of(voters.begin(), voters.end(), [&](const MemberId& voter) {
    const auto peer = peers.find(voter);
    return peer != peers.end() && recentlyHeard(now, peer->second) && peer->second.matchIndex > persistedIndex;
  });
}
// To the voter that has most on its disk and answered lately.
void RaftNode::Core::transferLeadership(TimePoint now) {
  MemberId best;
  std::int64_t most = -1;
  for (const auto& voter : log.config().allVoters()) {
    const auto peer = peers.find(voter);
    if (peer == peers.end() || !recentlyHeard(now, peer->second) || peer->second.matchIndex <= most)
      continue;
    if (isLeaving(now, peer->second))
      continue;
    most = peer->second.matchIndex;
    best = voter;
  }
  if (best.empty())
    return;
  stepDown(now);  // the lease ends here, before anybody may start a new one
  noElectionBefore = now + options.electionTimeout * 3;
  electionAt += options.electionTimeout;
  send(best, TransferLeadership{currentTerm});
  log::error("hands over the leadership to " + best);
}
}  // namespace zinccleat::consensus
