// Recovery: the first start of a cluster, the restart from the records on the disk, and compaction of the log.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
// How long a restarted member waits before it starts an election: a fixed delay plus a random jitter.
constexpr Duration kFormerLeaderDelay{20}, kFormerLeaderJitter{30};
constexpr Duration kRestartDelay{20}, kRestartJitter{200};
}  // namespace

void RaftCore::bootstrap(const std::vector<MemberId>& founders) {
  Snapshot initial;
  initial.config.voters = founders;
  log.reset(std::move(initial));
  updatePassiveRole();
  persistFullRecord();
}
void RaftCore::replay(const DiskRecord& record) {
  persistence.recoverSequence(record.seq);
  term.current = record.term;
  term.lastLed = record.lastLedTerm;
  term.votedFor = record.votedFor;
  if (record.full)
    log.reset({record.snapshotIndex, record.snapshotTerm, decodeConfig(record.snapshotConfig), record.state});
  if (record.fromIndex == 0 || record.entries.empty())
    return;
  log.truncateFrom(record.fromIndex);
  for (const auto& entry : record.entries)
    if (entry.index == log.lastLogIndex() + 1)
      log.append(entry);
}
void RaftCore::recover(const std::vector<DiskRecord>& records, TimePoint now) {
  for (const auto& record : records)
    replay(record);
  log.markPersisted(log.lastLogIndex(), log.lastLogTerm());
  updatePassiveRole();
  restoreFromSnapshot();
  // Lease promises are not on the disk. The member may have promised a lease just before the restart, so it grants no
  // votes until the longest possible lease has ended.
  follower.leasePromisedUntil = now + options.maxLease;
  term.restarted = true;
  const auto jitter = [&](Duration delay, Duration spread) {
    return delay + Duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spread.count())));
  };
  // The first election starts earlier than after a regular election timeout, since no member is leader after a restart
  // of all members. A member that was itself the leader of the newest term that it knows need not wait for the end of a
  // lease: that lease was its own and ended with its process.
  const bool ledNewestTerm = term.lastLed > 0 && term.lastLed == term.current;
  election.timeoutAt = ledNewestTerm ? now + jitter(kFormerLeaderDelay, kFormerLeaderJitter)
                                     : follower.leasePromisedUntil + jitter(kRestartDelay, kRestartJitter);
}
void RaftCore::restoreFromSnapshot() {
  const auto& snapshot = log.snapshot();
  if (snapshot.lastIncludedIndex > 0)
    actions.emplace_back(RestoreSnapshot{snapshot.lastIncludedIndex, snapshot.lastIncludedTerm, snapshot.state});
}
void RaftCore::compact(std::int64_t index, std::string state) {
  if (index <= log.snapshot().lastIncludedIndex || index > log.commitIndex())
    return;
  log.compact(index, std::move(state));
  persistFullRecord();
}
}  // namespace zinccleat::consensus
