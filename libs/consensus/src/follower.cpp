// Following a leader: its entries, its snapshots, and the promise of its lease.
#include "raft_core.hpp"

namespace zinccleat::consensus {
// Whoever speaks with the leader's voice in this term or a higher one is followed, and promised its lease.
bool RaftNode::Core::followLeader(TimePoint now, const MemberId& from, std::int64_t term, bool leaderHasLease) {
  if (term > currentTerm)
    enterTerm(now, term);
  if (role == Role::leader)
    return false;
  if (role == Role::candidate)
    setRole(idleRole());
  leader = from;
  leaderHeardAt = now;
  leaderHadLease = leaderHasLease;
  leasePromisedUntil = now + options.lease;
  armElection(now);
  return true;
}
// Why after the term's record: the answer is a promise to this leader, which a restart must not forget.
void RaftNode::Core::acknowledge(std::int64_t heartbeat, PersistTicket after) {
  if (leader.empty())
    return;
  AppendEntriesResponse response;
  response.term = currentTerm;
  response.heartbeatId = heartbeat;
  response.matchIndex = std::min(matchIndex, persistedIndex);
  send(leader, response, after);
}
void RaftNode::Core::onAppendEntries(TimePoint now, const MemberId& from, AppendEntries message) {
  AppendEntriesResponse mismatch;
  mismatch.mismatch = true;
  if (message.term < currentTerm)
    return tellTerm(from);
  if (!followLeader(now, from, message.term, message.leaderHasLease))
    return;
  mismatch.term = currentTerm;
  mismatch.heartbeatId = message.heartbeatId;
  if (log.holdsNothing()) {
    mismatch.matchIndex = -1;
    return send(from, mismatch, termTicket);
  }
  skipBelowSnapshot(message);
  if (log.termAt(message.prevLogIndex) != message.prevLogTerm) {
    // Too far ahead: go on from our end. Another term there: go on from what is committed, and so equal.
    mismatch.matchIndex = message.prevLogIndex > log.lastLogIndex() ? log.lastLogIndex() : commitIndex;
    return send(from, mismatch, termTicket);
  }
  const auto withoutBody = takeEntries(message);
  commitUpTo(std::min(message.commitIndex, matchIndex));
  acknowledge(message.heartbeatId, termTicket);
  if (!withoutBody)
    return;
  mismatch.heartbeatId = 0;
  mismatch.matchIndex = *withoutBody - 1;
  send(from, mismatch);
}
// What lies below our snapshot is committed and so equal: it is skipped.
void RaftNode::Core::skipBelowSnapshot(AppendEntries& message) const {
  const auto base = log.snapshot().number;
  if (message.prevLogIndex >= base)
    return;
  std::erase_if(message.entries, [&](const transport::LogEntry& entry) { return entry.index <= base; });
  message.prevLogIndex = base;
  message.prevLogTerm = log.snapshot().term;
  if (!message.entries.empty() && message.entries.front().index != base + 1)
    message.entries.clear();
}
// Appends what is new, replacing what another leader left. Returns the number of the first entry whose body is
// neither in the message nor here; nothing from it on was taken.
std::optional<std::int64_t> RaftNode::Core::takeEntries(AppendEntries& message) {
  std::vector<transport::LogEntry> added;
  std::optional<std::int64_t> withoutBody;
  auto last = message.prevLogIndex;
  for (auto& entry : message.entries) {
    if (log.termAt(entry.index) == entry.term) {
      last = entry.index;
      continue;
    }
    if (!fillBody(entry)) {
      withoutBody = entry.index;
      break;
    }
    if (entry.index <= log.lastLogIndex()) {
      checkInvariant(entry.index > commitIndex, "a committed entry is never replaced");
      log.truncateFrom(entry.index);
      persistedIndex = std::min(persistedIndex, entry.index - 1);
    }
    last = entry.index;
    log.append(entry);
    added.push_back(std::move(entry));
  }
  matchIndex = std::max(matchIndex, last);
  if (added.empty())
    return withoutBody;
  const auto first = added.front().index;
  persist(first, std::move(added));
  followConfig();
  return withoutBody;
}
void RaftNode::Core::onInstallSnapshot(TimePoint now, const MemberId& from, InstallSnapshot message) {
  if (message.term < currentTerm)
    return;
  const auto config = decodeConfig(message.config);
  const bool valid =
      message.lastIncludedIndex == 0 || !options.snapshotIsValid || options.snapshotIsValid(message.state);
  if (config.empty() || !valid) {
    ++snapshotsRefused;
    return;
  }
  if (!followLeader(now, from, message.term, leaderHadLease))
    return;
  // Why the log stays where it agrees: what lies above the snapshot may have been counted on already.
  const bool agrees = log.termAt(message.lastIncludedIndex) == message.lastIncludedTerm;
  if (!log.holdsNothing() && (message.lastIncludedIndex <= commitIndex || agrees)) {
    matchIndex = std::max(matchIndex, std::max(commitIndex, message.lastIncludedIndex));
    commitUpTo(message.lastIncludedIndex);
    return acknowledge(0, termTicket);
  }
  log.reset({message.lastIncludedIndex, message.lastIncludedTerm, config, std::move(message.state)});
  commitIndex = message.lastIncludedIndex;
  matchIndex = message.lastIncludedIndex;
  persistedIndex = 0;
  followConfig();
  emitRestore();
  persistAll();
}
}  // namespace zinccleat::consensus
