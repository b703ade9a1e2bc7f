// Recovery: the first start of a cluster, the restart from a disk, and compaction of the log.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
// How long a restarted member waits before it starts an election: a delay and a random part on top of it.
constexpr Duration kFormerLeaderDelay{20}, kFormerLeaderJitter{30};
constexpr Duration kRestartDelay{20}, kRestartJitter{200};
}  // namespace

void RaftCore::bootstrap(const std::vector<MemberId>& founders) {
  Snapshot initial;
  initial.config.voters = founders;
  log.reset(std::move(initial));
  updatePassiveRole();
  persistAll();
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
  // A lease promised before the restart is not on the disk: it is kept by waiting it out.
  follower.leasePromisedUntil = now + options.maxLease;
  term.restarted = true;
  const auto jitter = [&](Duration delay, Duration spread) {
    return delay + Duration(static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spread.count())));
  };
  // Sooner than an election timeout: after a restart of all members there is no leader to wait for. The leader of the
  // newest term that this member knows of need not wait at all: the lease was its own, and it is void.
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
  persistAll();
}
}  // namespace zinccleat::consensus
