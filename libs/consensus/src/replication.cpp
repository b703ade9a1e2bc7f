// Replication: what the leader sends to each peer, and how it processes the responses.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMaxBytesPerMessage = 1U << 20;
constexpr std::size_t kEntryOverheadBytes = 100;  // approximate encoded size of an entry without its body
constexpr int kSnapshotResendTimeoutFactor = 4;   // multiplies `resendTimeout`, since sending a snapshot takes longer
}  // namespace

void RaftCore::sendHeartbeats(TimePoint now) {
  leading.startHeartbeat(now);
  for (auto& [peer, progress] : leading.peers)
    sendTo(now, peer, progress, true);
}
void RaftCore::replicate(TimePoint now) {
  for (auto& [peer, progress] : leading.peers)
    sendTo(now, peer, progress, false);
}
void RaftCore::sendTo(TimePoint now, const MemberId& peer, PeerProgress& progress, bool heartbeatDue) {
  const auto lastActivity = std::max(progress.lastProgressAt, progress.lastSentAt);
  if (progress.hasUnacknowledged() && now - lastActivity > options.resendTimeout) {
    progress.sendBodiesUpTo = std::max(progress.sendBodiesUpTo, progress.nextIndex - 1);
    progress.nextIndex = progress.matchIndex + 1;
    progress.lastSentAt = now;
  }
  if (progress.nextIndex <= log.snapshot().lastIncludedIndex) {
    const auto snapshotTimeout = options.resendTimeout * kSnapshotResendTimeoutFactor;
    if (!progress.snapshotInFlight || now - progress.lastSentAt >= snapshotTimeout)
      return sendSnapshot(now, peer, progress);
    if (heartbeatDue)
      sendEntries(peer, log.lastLogIndex(), {});
    return;
  }
  const auto prevLogIndex = progress.nextIndex - 1;
  auto entries = takeNextEntries(progress);
  if (entries.empty() && !heartbeatDue)
    return;
  if (!entries.empty())
    progress.lastSentAt = now;
  sendEntries(peer, prevLogIndex, std::move(entries));
}
void RaftCore::sendSnapshot(TimePoint now, const MemberId& peer, PeerProgress& progress) {
  const auto& snapshot = log.snapshot();
  InstallSnapshot message;
  message.term = term.current;
  message.lastIncludedIndex = snapshot.lastIncludedIndex;
  message.lastIncludedTerm = snapshot.lastIncludedTerm;
  message.config = encodeConfig(snapshot.config);
  message.state = snapshot.state;
  message.commitIndex = log.commitIndex();
  progress.snapshotInFlight = true;
  progress.lastSentAt = now;
  send(peer, std::move(message));
}
// The node that accepts a large write from a client sends the body to all members ahead of the log entry. A write that
// the leader itself accepted is sent as an entry with its body.
bool RaftCore::bodyWasSentAhead(const transport::LogEntry& entry) const {
  const bool acceptedElsewhere = entry.operationId.rfind(self + "/", 0) != 0;
  return entry.body.size() > options.largeBodyBytes && !entry.digest.empty() && acceptedElsewhere;
}
std::vector<transport::LogEntry> RaftCore::takeNextEntries(PeerProgress& progress) const {
  std::vector<transport::LogEntry> entries;
  std::size_t bytes = 0;
  while (progress.nextIndex <= log.lastLogIndex() && bytes < kMaxBytesPerMessage) {
    entries.push_back(*log.at(progress.nextIndex));
    auto& entry = entries.back();
    if (progress.nextIndex > progress.sendBodiesUpTo && bodyWasSentAhead(entry)) {
      entry.body.clear();
      entry.omitted = true;
    }
    bytes += entry.body.size() + kEntryOverheadBytes;
    ++progress.nextIndex;
  }
  return entries;
}
void RaftCore::sendEntries(const MemberId& peer, std::int64_t prevLogIndex, std::vector<transport::LogEntry> entries) {
  AppendEntries message;
  message.term = term.current;
  message.prevLogIndex = prevLogIndex;
  message.prevLogTerm = log.termAt(prevLogIndex);
  message.commitIndex = log.commitIndex();
  message.heartbeatId = leading.heartbeatId;
  message.leaderHasLease = leaseValid(lastTickAt);  // accurate to one tick, which is sufficient for followers
  message.entries = std::move(entries);
  message.extension.leaseMs = options.lease.count();
  send(peer, std::move(message));
}
void RaftCore::trackPeer(TimePoint now, const MemberId& peer) {
  if (peer.empty() || peer == self)
    return;
  const auto [entry, added] = leading.peers.try_emplace(peer);
  auto& progress = entry->second;
  progress.lastHeardAt = now;
  if (!added)
    return;
  progress.nextIndex = log.lastLogIndex() + 1;
  progress.lastProgressAt = now;
  sendTo(now, peer, progress, true);
}
void RaftCore::onAppendEntriesResponse(TimePoint now, const MemberId& from, const AppendEntriesResponse& response) {
  if (response.term > term.current)
    return enterTerm(now, response.term);
  if (role != Role::leader || response.term != term.current)
    return;
  const auto peer = leading.peers.find(from);
  if (peer == leading.peers.end())
    return trackPeer(now, from);
  auto& progress = peer->second;
  progress.lastHeardAt = now;
  leading.recordLeasePromise(progress, response.heartbeatId);
  if (response.mismatch)
    return onMismatch(now, from, progress, response.matchIndex);
  if (response.matchIndex <= progress.matchIndex || response.matchIndex > log.lastLogIndex())
    return;
  progress.matchIndex = response.matchIndex;
  progress.lastProgressAt = now;
  progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
  progress.snapshotInFlight = false;
  advanceCommit(now);
  if (role == Role::leader && progress.nextIndex <= log.lastLogIndex())
    sendTo(now, from, progress, false);
}
void RaftCore::onMismatch(TimePoint now, const MemberId& from, PeerProgress& progress, std::int64_t matchIndex) {
  // A snapshot that was sent recently will resolve the mismatch.
  if (progress.snapshotInFlight && now - progress.lastSentAt < options.resendTimeout)
    return;
  progress.snapshotInFlight = false;
  progress.nextIndex = std::clamp<std::int64_t>(matchIndex + 1, 0, log.lastLogIndex() + 1);
  progress.sendBodiesUpTo = log.lastLogIndex();
  sendTo(now, from, progress, false);
}
}  // namespace zinccleat::consensus
