// Persistence: which records are written to the disk, how a failed write is retried, and what happens after a sync.
#include "raft_core.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::consensus {
namespace {
constexpr Duration kSlowSyncThreshold{200};  // syncs this slow noticeably delay elections and commits
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
PersistTicket RaftCore::persistFullRecord() {
  return enqueueRecord(fullRecord());
}
// The age of a pending record is measured in ticks of this process; a late tick counts as two tick intervals at most.
// If the event loop is late, a healthy disk's completion is processed late too. With the age measured by the clock,
// members that are all equally busy would transfer the leadership to each other again and again.
void RaftCore::agePendingRecords(TimePoint now) {
  const auto sinceTick = lastTickAt == TimePoint{} ? Duration(0) : toDuration(now - lastTickAt);
  lastTickAt = now;
  persistence.advanceAge(std::min(sinceTick, options.tickInterval * 2));
}
bool RaftCore::diskStalled() const {
  return persistence.oldestFailed() || persistence.oldestAge() > options.syncStallTimeout;
}
bool RaftCore::diskMakesNoProgress() const {
  constexpr int kMaxSyncTimes = 3;  // a record may wait for the sync of the record before it, and sync times vary
  const bool progressing =
      !persistence.oldestFailed() && persistence.oldestAge() <= persistence.lastSyncTime() * kMaxSyncTimes;
  return diskStalled() && !progressing;
}
// Only the oldest record is retried, since the disk writes records in order. If more records are queued behind it, all
// of them are replaced by one full record: writing a backlog of single records would take longer than the records took
// to accumulate.
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
  // The vote or the vote requests are sent only now, so the election timeout starts again from here.
  if (awaitedVote && !awaitingOwnVoteRecord() && role != Role::leader)
    resetElectionTimer(now);
  log.markPersisted(synced->lastLogIndex, synced->lastLogTerm);
  if (role == Role::candidate && term.votedFor == self && ticket >= election.ownVoteTicket)
    election.votes.insert(self);
  for (auto& deferred : persistence.releaseMessages())
    if (deferred.term == term.current)  // a message of an earlier term is void
      actions.emplace_back(SendMessage{std::move(deferred.to), std::move(deferred.message)});
  advanceElection(now);
  if (role == Role::leader) {
    leading.commitAheadOfDiskSince = {};  // measured again for the next record
    return advanceCommit(now);
  }
  if (std::min(follower.matchIndex, log.persistedIndex()) > 0)
    acknowledge(0, 0);
}
}  // namespace zinccleat::consensus
