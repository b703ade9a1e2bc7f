// Persistence: which records go to the disk, how a refused one is retried, and what a synced one allows.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr Duration kSlowSyncThreshold{200};  // elections and commits take noticeably longer from here on
}

DiskRecord RaftCore::emptyRecord() const {
  DiskRecord record;
  record.term = term.current;
  record.lastLedTerm = term.lastLed;
  record.self = self;
  record.votedFor = term.votedFor;
  return record;
}
DiskRecord RaftCore::fullRecord() const {
  const auto& snapshot = log.snapshot();
  auto record = emptyRecord();
  record.full = true;
  record.snapshotIndex = snapshot.lastIncludedIndex;
  record.snapshotTerm = snapshot.lastIncludedTerm;
  record.snapshotConfig = encodeConfig(snapshot.config);
  record.state = snapshot.state;
  record.fromIndex = snapshot.lastIncludedIndex + 1;
  record.entries.assign(log.entries().begin(), log.entries().end());
  return record;
}
PersistTicket RaftCore::enqueueRecord(DiskRecord record) {
  const auto ticket = persistence.add(std::move(record), log.lastLogIndex(), log.lastLogTerm());
  startNextWrite();
  return ticket;
}
void RaftCore::startNextWrite() {
  if (const auto* pending = persistence.beginOldestWrite())
    actions.emplace_back(PersistRecord{pending->ticket, pending->record});
}
PersistTicket RaftCore::persist(std::int64_t fromIndex, std::vector<transport::LogEntry> entries) {
  auto record = emptyRecord();
  record.fromIndex = fromIndex;
  record.entries = std::move(entries);
  return enqueueRecord(std::move(record));
}
PersistTicket RaftCore::persistAll() {
  return enqueueRecord(fullRecord());
}
// A pending record ages by the ticks of this process, each counted as two regular ones at most. Where the event loop
// itself is late, the answer of a healthy disk waits unread; by the clock alone the leadership would go round among
// members that are all equally busy.
void RaftCore::agePendingRecords(TimePoint now) {
  const auto sinceTick = lastTickAt == TimePoint{} ? Duration(0) : toDuration(now - lastTickAt);
  lastTickAt = now;
  persistence.age(std::min(sinceTick, options.tickInterval * 2));
}
bool RaftCore::diskStalled() const {
  return persistence.oldestFailed() || persistence.oldestAge() > options.syncStallTimeout;
}
bool RaftCore::diskMakesNoProgress() const {
  constexpr int kMaxSyncTimes = 3;  // a record may wait for the one before it, and syncs differ
  const bool progressing =
      !persistence.oldestFailed() && persistence.oldestAge() <= persistence.lastSyncTime() * kMaxSyncTimes;
  return diskStalled() && !progressing;
}
// Only the oldest record is retried, since the disk takes them in order. Whatever was queued behind it goes along in
// one full record: a backlog of single records would take longer to write than it took to gather.
void RaftCore::retryPersist(TimePoint now) {
  if (!persistence.retryDue(now))
    return;
  const bool unchanged = persistence.pending().size() == 1 || log.isUninitialized();
  const auto& retried = unchanged ? persistence.retryOldest()
                                  : persistence.replaceAll(fullRecord(), log.lastLogIndex(), log.lastLogTerm());
  actions.emplace_back(PersistRecord{retried.ticket, retried.record});
}
void RaftCore::onPersisted(TimePoint now, PersistTicket ticket) {
  const bool awaitedVote = awaitingOwnVoteRecord();
  const auto synced = persistence.complete(ticket);
  if (!synced)
    return;
  startNextWrite();
  if (const auto syncTime = persistence.lastSyncTime(); syncTime >= kSlowSyncThreshold)
    log::debug("sync_slow", {{"member", self}, {"sync_ms", syncTime}, {"term", term.current}});
  // Only now does the vote, or the request for votes, leave: the election has its full time from here.
  if (awaitedVote && !awaitingOwnVoteRecord() && role != Role::leader)
    resetElectionTimer(now);
  log.markPersisted(synced->lastLogIndex, synced->lastLogTerm);
  if (role == Role::candidate && term.votedFor == self && ticket >= election.ownVoteTicket)
    election.votes.insert(self);
  for (auto& deferred : persistence.releaseMessages())
    if (deferred.term == term.current)  // a vote or a request of an earlier term is void
      actions.emplace_back(SendMessage{std::move(deferred.to), std::move(deferred.message)});
  advanceElection(now);
  if (role == Role::leader) {
    leading.commitAheadOfDiskSince = {};  // counted anew for the next record
    return advanceCommit(now);
  }
  if (std::min(follower.matchIndex, log.persistedIndex()) > 0)
    acknowledge(0, 0);
}
}  // namespace zinccleat::consensus
