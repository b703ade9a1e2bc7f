// Starting from founders or from a disk, and compaction of the log.
#include "raft_core.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::int64_t kFormerLeaderDelay = 20, kFormerLeaderSpread = 30;  // ms
constexpr std::int64_t kRestartDelay = 20, kRestartSpread = 200;           // ms
}  // namespace

void RaftNode::Core::bootstrap(const std::vector<MemberId>& founders) {
  Snapshot start;
  start.config.voters = founders;
  log.reset(std::move(start));
  followConfig();
  persistAll();
}
void RaftNode::Core::recover(const std::vector<DiskRecord>& records, TimePoint now) {
  for (const auto& record : records) {
    persistence.recoveredSequence(record.seq);
    currentTerm = record.term;
    lastLedTerm = record.lastLedTerm;
    votedFor = record.votedFor;
    if (record.full)
      log.reset({record.snapshotIndex, record.snapshotTerm, decodeConfig(record.snapshotConfig), record.state});
    if (record.fromIndex == 0 || record.entries.empty())
      continue;
    log.truncateFrom(record.fromIndex);
    for (const auto& entry : record.entries)
      if (entry.index == log.lastLogIndex() + 1)
        log.append(entry);
  }
  persistedIndex = log.lastLogIndex();
  commitIndex = log.snapshot().number;
  followConfig();
  emitRestore();
  // A promise made before the restart is not remembered, so it is kept by waiting.
  leasePromisedUntil = now + options.lease;
  restarted = true;
  // Why soon after: where all came back at once nobody is there to wait for. Who led the newest term that it knows of
  // need not wait: the lease was its own, and it is gone.
  const bool ledNewestTerm = lastLedTerm > 0 && lastLedTerm == currentTerm;
  const auto jitter = [&](std::int64_t delay, std::int64_t spread) {
    return Duration(delay + static_cast<std::int64_t>(random() % static_cast<std::uint64_t>(spread)));
  };
  electionAt = ledNewestTerm ? now + jitter(kFormerLeaderDelay, kFormerLeaderSpread)
                             : leasePromisedUntil + jitter(kRestartDelay, kRestartSpread);
}
void RaftNode::Core::emitRestore() {
  const auto& snapshot = log.snapshot();
  if (snapshot.number > 0)
    actions.emplace_back(RestoreSnapshot{snapshot.number, snapshot.term, snapshot.state});
}
void RaftNode::Core::compact(std::int64_t number, std::string state) {
  if (number <= log.snapshot().number || number > commitIndex)
    return;
  log.compact(number, std::move(state));
  persistAll();
}
}  // namespace zinccleat::consensus
