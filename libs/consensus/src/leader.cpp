// The leader: replication, the commit rule, its lease, and giving the leadership away.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zc {
namespace {
constexpr std::size_t kMostBytesPerMessage = 1U << 20;
constexpr std::size_t kEntryOverhead = 100;  // bytes of an entry besides its body, roughly
constexpr std::size_t kHeartbeatsRemembered = 64;
constexpr int kHeardWithinHeartbeats = 4;
constexpr int kSnapshotResendFactor = 4;
}  // namespace

void RaftNode::Core::tickLeader(Instant now) {
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
void RaftNode::Core::stepDown(Instant now) {
  leader.clear();
  setRole(idleRole());
  armElection(now);
}
bool RaftNode::Core::submit(Instant now, Entry entry) {
  if (role != Role::leader || !fillBody(entry))
    return false;
  // A write sent again while the first is still on its way is that first write.
  for (auto number = commitNumber + 1; number <= log.lastNumber(); ++number)
    if (log.at(number)->opId == entry.opId)
      return true;
  appendAsLeader(now, std::move(entry));
  replicate(now);
  return true;
}
void RaftNode::Core::appendAsLeader(Instant now, Entry entry) {
  entry.term = currentTerm;
  entry.num = log.lastNumber() + 1;
  const bool changesConfig = entry.op() == OpKind::members;
  log.append(entry);
  if (changesConfig)
    for (const auto& voter : log.config().allVoters())
      if (voter != self && !peers.contains(voter))
        trackPeer(now, voter);
  const auto number = entry.num;
  persist(number, {std::move(entry)});
}
void RaftNode::Core::heartbeat(Instant now) {
  lastHeartbeatAt = now;
  heartbeatSentAt[++heartbeatId] = now;
  while (heartbeatSentAt.size() > kHeartbeatsRemembered)
    heartbeatSentAt.erase(heartbeatSentAt.begin());
  for (auto& [peer, progress] : peers)
    sendTo(now, peer, progress, true);
}
void RaftNode::Core::replicate(Instant now) {
  for (auto& [peer, progress] : peers)
    sendTo(now, peer, progress, false);
}
void RaftNode::Core::sendTo(Instant now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue) {
  const bool unacknowledged = progress.matchedNumber + 1 < progress.nextNumber;
  if (unacknowledged && now - std::max(progress.progressAt, progress.sentAt) > options.resendAfter) {
    progress.sendWholeUpTo = std::max(progress.sendWholeUpTo, progress.nextNumber - 1);
    progress.nextNumber = progress.matchedNumber + 1;
    progress.sentAt = now;
  }
  if (progress.nextNumber <= log.snapshot().number) {
    const bool waiting =
        progress.snapshotUnderWay && now - progress.sentAt < options.resendAfter * kSnapshotResendFactor;
    if (!waiting)
      return sendSnapshot(now, peer, progress);
    if (heartbeatDue)
      sendEntries(peer, log.lastNumber(), {});
    return;
  }
  const auto previous = progress.nextNumber - 1;
  auto entries = nextEntries(progress);
  if (entries.empty() && !heartbeatDue)
    return;
  if (!entries.empty())
    progress.sentAt = now;
  sendEntries(peer, previous, std::move(entries));
}
void RaftNode::Core::sendSnapshot(Instant now, const MemberId& peer, PeerProgress& progress) {
  InstallSnapshot message;
  message.term = currentTerm;
  message.lastNumber = log.snapshot().number;
  message.lastTerm = log.snapshot().term;
  message.config = encodeConfig(log.snapshot().config);
  message.state = log.snapshot().state;
  message.commitNumber = commitNumber;
  progress.snapshotUnderWay = true;
  progress.sentAt = now;
  send(peer, std::move(message));
}
// Takes as many entries as fit one message and counts them as sent.
std::vector<Entry> RaftNode::Core::nextEntries(PeerProgress& progress) const {
  std::vector<Entry> entries;
  std::size_t bytes = 0;
  while (progress.nextNumber <= log.lastNumber() && bytes < kMostBytesPerMessage) {
    entries.push_back(*log.at(progress.nextNumber));
    auto& entry = entries.back();
    // The node that took a large write has sent its body ahead; only the numbered entry goes from here.
    const bool takenElsewhere = entry.opId.rfind(self + "/", 0) != 0;
    const bool sentAhead = entry.blob.size() > options.largeBody && !entry.digest.empty() && takenElsewhere;
    if (sentAhead && progress.nextNumber > progress.sendWholeUpTo) {
      entry.blob.clear();
      entry.omitted = true;
    }
    bytes += entry.blob.size() + kEntryOverhead;
    ++progress.nextNumber;
  }
  return entries;
}
void RaftNode::Core::sendEntries(const MemberId& peer, std::int64_t previous, std::vector<Entry> entries) {
  AppendEntries message;
  message.term = currentTerm;
  message.previousNumber = previous;
  message.previousTerm = log.termAt(previous);
  message.commitNumber = commitNumber;
  message.heartbeatId = heartbeatId;
  message.leaderHasLease = leaseValid(lastTickAt);
  message.entries = std::move(entries);
  send(peer, std::move(message));
}
// Until when a quorum has promised to elect nobody else, less a margin. Each promise counts from when the heartbeat
// that it answers was sent, so that no delay on the way can lengthen it.
Instant RaftNode::Core::leaseEnd() const {
  const auto promisedFrom = [&](const MemberId& voter) {
    if (voter == self)
      return Instant::max();
    const auto peer = peers.find(voter);
    return peer == peers.end() ? Instant{} : peer->second.leasePromisedFrom;
  };
  const auto from = log.config().reachedByQuorum<Instant>(promisedFrom, Instant{});
  if (from == Instant{} || from == Instant::max())
    return from;
  return from + options.lease - options.leaseMargin;
}
bool RaftNode::Core::leaseValid(Instant now) const {
  const bool leads = role == Role::leader || options.faults.leaseOutlivesStepDown;
  return leads && now < leaseEnd();
}
void RaftNode::Core::onAppendResponse(Instant now, const MemberId& from, const AppendEntriesResponse& response) {
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
    if (progress.snapshotUnderWay && now - progress.sentAt < options.resendAfter)
      return;
    progress.snapshotUnderWay = false;
    progress.nextNumber = std::clamp<std::int64_t>(response.matchedNumber + 1, 0, log.lastNumber() + 1);
    progress.sendWholeUpTo = log.lastNumber();
    return sendTo(now, from, progress, false);
  }
  if (response.matchedNumber <= progress.matchedNumber || response.matchedNumber > log.lastNumber())
    return;
  progress.matchedNumber = response.matchedNumber;
  progress.progressAt = now;
  progress.nextNumber = std::max(progress.nextNumber, progress.matchedNumber + 1);
  progress.snapshotUnderWay = false;
  advanceCommit(now);
  if (role == Role::leader && progress.nextNumber <= log.lastNumber())
    sendTo(now, from, progress, false);
}
// Commits what a quorum has on disk, as far as it ends in an entry of the present term: an entry of an earlier term
// counts only together with a later one of this term, since until then another leader could still replace it.
void RaftNode::Core::advanceCommit(Instant now) {
  const auto onDisk = [&](const MemberId& voter) -> std::int64_t {
    if (voter == self)
      return persistedNumber;
    const auto peer = peers.find(voter);
    return peer == peers.end() ? 0 : std::max<std::int64_t>(0, peer->second.matchedNumber);
  };
  auto number = log.config().reachedByQuorum<std::int64_t>(onDisk, 0);
  if (options.faults.commitWithoutMajority)
    number = persistedNumber;
  if (number <= commitNumber || log.termAt(number) != currentTerm)
    return;
  commitUpTo(number);
  heartbeat(now);
  if (log.configNumber() <= commitNumber && !isVoter())
    stepDown(now);  // removed from the voters while leading them
}
void RaftNode::Core::trackPeer(Instant now, const MemberId& peer) {
  if (peer.empty() || peer == self)
    return;
  const auto [entry, added] = peers.try_emplace(peer);
  auto& progress = entry->second;
  progress.heardAt = now;
  if (!added)
    return;
  progress.nextNumber = log.lastNumber() + 1;
  progress.progressAt = now;
  sendTo(now, peer, progress, true);
}
bool RaftNode::Core::recentlyHeard(Instant now, const PeerProgress& progress) const {
  return now - progress.heardAt < options.heartbeatInterval * kHeardWithinHeartbeats;
}
// Whether another voter has synced what this one could not: else nobody's disk is better off than ours.
bool RaftNode::Core::anotherHasSyncedMore(Instant now) const {
  const auto voters = log.config().allVoters();
  return std::any_of(voters.begin(), voters.end(), [&](const MemberId& voter) {
    const auto peer = peers.find(voter);
    return peer != peers.end() && recentlyHeard(now, peer->second) && peer->second.matchedNumber > persistedNumber;
  });
}
// To the voter that has most on its disk and answered lately.
void RaftNode::Core::transferLeadership(Instant now) {
  MemberId best;
  std::int64_t most = -1;
  for (const auto& voter : log.config().allVoters()) {
    const auto peer = peers.find(voter);
    if (peer == peers.end() || !recentlyHeard(now, peer->second) || peer->second.matchedNumber <= most)
      continue;
    if (isLeaving(now, peer->second))
      continue;
    most = peer->second.matchedNumber;
    best = voter;
  }
  if (best.empty())
    return;
  stepDown(now);  // the lease ends here, before anybody may start a new one
  noElectionBefore = now + options.electionTimeout * 3;
  electionAt += options.electionTimeout;
  send(best, TransferLeadership{currentTerm});
  ring::alarm("hands over the leadership to " + best);
}
}  // namespace zc
