// Following a leader: its entries, its snapshots, and the promise of its lease.
#include "raft_core.hpp"

namespace zc {
// Whoever speaks with the leader's voice in this term or a higher one is followed, and promised its lease.
bool RaftNode::Core::followLeader(Instant now, const MemberId& from, std::int64_t term, bool leaderHasLease) {
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
  response.matchedNumber = std::min(matchedNumber, persistedNumber);
  send(leader, response, after);
}
void RaftNode::Core::onAppendEntries(Instant now, const MemberId& from, AppendEntries message) {
  AppendEntriesResponse mismatch;
  mismatch.mismatch = true;
  if (message.term < currentTerm)
    return tellTerm(from);
  if (!followLeader(now, from, message.term, message.leaderHasLease))
    return;
  mismatch.term = currentTerm;
  mismatch.heartbeatId = message.heartbeatId;
  if (log.holdsNothing()) {
    mismatch.matchedNumber = -1;
    return send(from, mismatch, termTicket);
  }
  skipBelowSnapshot(message);
  if (log.termAt(message.previousNumber) != message.previousTerm) {
    // Too far ahead: go on from our end. Another term there: go on from what is committed, and so equal.
    mismatch.matchedNumber = message.previousNumber > log.lastNumber() ? log.lastNumber() : commitNumber;
    return send(from, mismatch, termTicket);
  }
  const auto withoutBody = takeEntries(message);
  commitUpTo(std::min(message.commitNumber, matchedNumber));
  acknowledge(message.heartbeatId, termTicket);
  if (!withoutBody)
    return;
  mismatch.heartbeatId = 0;
  mismatch.matchedNumber = *withoutBody - 1;
  send(from, mismatch);
}
// What lies below our snapshot is committed and so equal: it is skipped.
void RaftNode::Core::skipBelowSnapshot(AppendEntries& message) const {
  const auto base = log.snapshot().number;
  if (message.previousNumber >= base)
    return;
  std::erase_if(message.entries, [&](const Entry& entry) { return entry.num <= base; });
  message.previousNumber = base;
  message.previousTerm = log.snapshot().term;
  if (!message.entries.empty() && message.entries.front().num != base + 1)
    message.entries.clear();
}
// Appends what is new, replacing what another leader left. Returns the number of the first entry whose body is
// neither in the message nor here; nothing from it on was taken.
std::optional<std::int64_t> RaftNode::Core::takeEntries(AppendEntries& message) {
  std::vector<Entry> added;
  std::optional<std::int64_t> withoutBody;
  auto last = message.previousNumber;
  for (auto& entry : message.entries) {
    if (log.termAt(entry.num) == entry.term) {
      last = entry.num;
      continue;
    }
    if (!fillBody(entry)) {
      withoutBody = entry.num;
      break;
    }
    if (entry.num <= log.lastNumber()) {
      must(entry.num > commitNumber, "a committed entry is never replaced");
      log.truncateFrom(entry.num);
      persistedNumber = std::min(persistedNumber, entry.num - 1);
    }
    last = entry.num;
    log.append(entry);
    added.push_back(std::move(entry));
  }
  matchedNumber = std::max(matchedNumber, last);
  if (added.empty())
    return withoutBody;
  const auto first = added.front().num;
  persist(first, std::move(added));
  followConfig();
  return withoutBody;
}
void RaftNode::Core::onInstallSnapshot(Instant now, const MemberId& from, InstallSnapshot message) {
  if (message.term < currentTerm)
    return;
  const auto config = decodeConfig(message.config);
  const bool valid = message.lastNumber == 0 || !options.snapshotIsValid || options.snapshotIsValid(message.state);
  if (config.empty() || !valid) {
    ++snapshotsRefused;
    return;
  }
  if (!followLeader(now, from, message.term, leaderHadLease))
    return;
  // Why the log stays where it agrees: what lies above the snapshot may have been counted on already.
  const bool agrees = log.termAt(message.lastNumber) == message.lastTerm;
  if (!log.holdsNothing() && (message.lastNumber <= commitNumber || agrees)) {
    matchedNumber = std::max(matchedNumber, std::max(commitNumber, message.lastNumber));
    commitUpTo(message.lastNumber);
    return acknowledge(0, termTicket);
  }
  log.reset({message.lastNumber, message.lastTerm, config, std::move(message.state)});
  commitNumber = message.lastNumber;
  matchedNumber = message.lastNumber;
  persistedNumber = 0;
  followConfig();
  emitRestore();
  persistAll();
}
}  // namespace zc
