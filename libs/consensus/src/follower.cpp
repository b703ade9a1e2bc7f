// The follower: accepts entries and snapshots from a leader and promises the leader its lease.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
// The matchIndex of a mismatch response that requests a snapshot, since this member has no configuration yet.
constexpr std::int64_t kNeedsSnapshot = -1;
}  // namespace

bool RaftCore::followLeader(TimePoint now, const MemberId& from, std::int64_t leaderTerm, bool leaderHasLease,
                            Duration promise) {
  if (leaderTerm > term.current)
    enterTerm(now, leaderTerm);
  if (role == Role::leader)
    return false;
  if (role == Role::candidate)
    setRole(passiveRole());
  follower.leader = from;
  follower.leaderHeardAt = now;
  follower.leaderHadLease = leaderHasLease;
  follower.leasePromisedUntil = std::max(follower.leasePromisedUntil, now + promise);
  resetElectionTimer(now);
  return true;
}
Duration RaftCore::leasePromiseDuration(const AppendEntries& message) const {
  const Duration asked(message.extension.leaseMs);
  return asked > Duration(0) && asked < options.maxLease ? asked : options.maxLease;
}
// The response promises the leader its lease in this term. A restart must not forget that term, so callers pass the
// ticket of the record that contains the term as `after`.
void RaftCore::acknowledge(std::int64_t heartbeatId, PersistTicket after) {
  if (follower.leader.empty())
    return;
  AppendEntriesResponse response;
  response.term = term.current;
  response.heartbeatId = heartbeatId;
  response.matchIndex = std::min(follower.matchIndex, log.persistedIndex());
  send(follower.leader, response, after);
}
void RaftCore::rejectEntries(const AppendEntries& message, const MemberId& from, std::int64_t matchIndex) {
  AppendEntriesResponse response;
  response.term = term.current;
  response.heartbeatId = message.heartbeatId;
  response.matchIndex = matchIndex;
  response.mismatch = true;
  send(from, response, term.recordTicket);
}
void RaftCore::onAppendEntries(TimePoint now, const MemberId& from, AppendEntries message) {
  if (message.term < term.current)
    return sendCurrentTerm(from);
  if (!followLeader(now, from, message.term, message.leaderHasLease, leasePromiseDuration(message)))
    return;
  if (log.isUninitialized())
    return rejectEntries(message, from, kNeedsSnapshot);
  skipBelowSnapshot(message);
  if (log.termAt(message.prevLogIndex) != message.prevLogTerm) {
    // If this log is too short, the leader continues from its end. If the terms differ, the leader continues from the
    // commit index: committed entries are equal on all members.
    const bool beyondEnd = message.prevLogIndex > log.lastLogIndex();
    return rejectEntries(message, from, beyondEnd ? log.lastLogIndex() : log.commitIndex());
  }
  const auto missingBody = appendNewEntries(message);
  commitUpTo(std::min(message.commitIndex, follower.matchIndex));
  acknowledge(message.heartbeatId, term.recordTicket);
  if (!missingBody)
    return;
  AppendEntriesResponse resend;
  resend.term = term.current;
  resend.matchIndex = *missingBody - 1;
  resend.mismatch = true;
  send(from, resend);
}
void RaftCore::skipBelowSnapshot(AppendEntries& message) const {
  const auto& snapshot = log.snapshot();
  const auto base = snapshot.lastIncludedIndex;
  if (message.prevLogIndex >= base)
    return;
  std::erase_if(message.entries, [&](const transport::LogEntry& entry) { return entry.index <= base; });
  message.prevLogIndex = base;
  message.prevLogTerm = snapshot.lastIncludedTerm;
  if (!message.entries.empty() && message.entries.front().index != base + 1)
    message.entries.clear();
}
std::optional<std::int64_t> RaftCore::appendNewEntries(AppendEntries& message) {
  std::vector<transport::LogEntry> added;
  std::optional<std::int64_t> missingBody;
  auto lastMatching = message.prevLogIndex;
  for (auto& entry : message.entries) {
    if (log.termAt(entry.index) == entry.term) {
      lastMatching = entry.index;
      continue;
    }
    if (!bodies.restoreBody(entry)) {
      missingBody = entry.index;
      break;
    }
    if (entry.index <= log.lastLogIndex()) {
      checkInvariant(entry.index > log.commitIndex(), "a committed entry is never replaced");
      log.truncateFrom(entry.index);
    }
    lastMatching = entry.index;
    log.append(entry);
    added.push_back(std::move(entry));
  }
  follower.matchIndex = std::max(follower.matchIndex, lastMatching);
  if (added.empty())
    return missingBody;
  const auto firstIndex = added.front().index;
  persist(firstIndex, std::move(added));
  updatePassiveRole();
  return missingBody;
}
bool RaftCore::isInstallable(const InstallSnapshot& message, const ClusterConfig& config) const {
  if (config.empty())
    return false;
  return message.lastIncludedIndex == 0 || !options.snapshotIsValid || options.snapshotIsValid(message.state);
}
void RaftCore::onInstallSnapshot(TimePoint now, const MemberId& from, InstallSnapshot message) {
  if (message.term < term.current)
    return;
  const auto config = decodeConfig(message.config);
  if (!isInstallable(message, config)) {
    ++rejectedSnapshots;
    log::debug("snapshot_rejected", {{"member", self}, {"peer", from}, {"index", message.lastIncludedIndex}});
    return;
  }
  if (!followLeader(now, from, message.term, follower.leaderHadLease, options.maxLease))
    return;
  // A log that contains the last entry of the snapshot is kept: the leader may already have counted this member's copy
  // of later entries towards a commit.
  const bool agrees = log.termAt(message.lastIncludedIndex) == message.lastIncludedTerm;
  if (!log.isUninitialized() && (message.lastIncludedIndex <= log.commitIndex() || agrees)) {
    follower.matchIndex = std::max({follower.matchIndex, log.commitIndex(), message.lastIncludedIndex});
    commitUpTo(message.lastIncludedIndex);
    return acknowledge(0, term.recordTicket);
  }
  log.reset({message.lastIncludedIndex, message.lastIncludedTerm, config, std::move(message.state)});
  follower.matchIndex = message.lastIncludedIndex;
  updatePassiveRole();
  restoreFromSnapshot();
  persistFullRecord();
}
}  // namespace zinccleat::consensus
