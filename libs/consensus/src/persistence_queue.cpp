#include "persistence_queue.hpp"

namespace zinccleat::consensus {
namespace {
/// Merges two consecutive records. Replaying the result restores the same term, vote and log as replaying both records.
DiskRecord mergeRecords(DiskRecord earlier, DiskRecord later) {
  if (later.full)
    return later;
  earlier.term = later.term;
  earlier.lastLedTerm = later.lastLedTerm;
  earlier.votedFor = std::move(later.votedFor);
  if (later.entries.empty())
    return earlier;
  if (earlier.entries.empty() && !earlier.full)
    earlier.fromIndex = later.fromIndex;
  std::erase_if(earlier.entries, [&later](const auto& entry) { return entry.index >= later.fromIndex; });
  earlier.fromIndex = std::min(earlier.fromIndex, later.fromIndex);
  std::move(later.entries.begin(), later.entries.end(), std::back_inserter(earlier.entries));
  return earlier;
}
}  // namespace

PersistTicket PersistenceQueue::add(DiskRecord record, std::int64_t lastLogIndex, std::int64_t lastLogTerm) {
  const bool canMerge = !pending_.empty() && !pending_.back().inFlight && !pending_.back().failed;
  if (canMerge)
    pending_.back().record = mergeRecords(std::move(pending_.back().record), std::move(record));
  else
    pending_.push_back({.firstTicket = lastTicket_ + 1, .record = std::move(record)});
  auto& newest = pending_.back();
  newest.ticket = ++lastTicket_;
  newest.lastLogIndex = lastLogIndex;
  newest.lastLogTerm = lastLogTerm;
  return newest.ticket;
}
const PendingRecord* PersistenceQueue::beginOldestWrite() {
  if (pending_.empty() || pending_.front().inFlight || pending_.front().failed)
    return nullptr;
  auto& oldest = pending_.front();
  oldest.record.seq = ++lastSequence_;
  oldest.inFlight = true;
  return &oldest;
}
bool PersistenceQueue::defer(DeferredMessage& message) {
  if (message.after == 0 || !isPending(message.after))
    return false;
  deferred_.push_back(std::move(message));
  return true;
}
std::optional<PendingRecord> PersistenceQueue::complete(PersistTicket ticket) {
  const auto synced = std::find_if(pending_.begin(), pending_.end(),
                                   [&](const PendingRecord& pending) { return pending.ticket == ticket; });
  if (synced == pending_.end())
    return std::nullopt;
  lastSyncTime_ = synced->pendingFor;
  auto completed = std::move(*synced);
  pending_.erase(synced);
  return completed;
}
std::vector<DeferredMessage> PersistenceQueue::releaseMessages() {
  const auto oldest = pending_.empty() ? std::numeric_limits<PersistTicket>::max() : pending_.front().firstTicket;
  std::vector<DeferredMessage> released;
  std::vector<DeferredMessage> stillDeferred;
  for (auto& message : deferred_) {
    auto& destination = message.after < oldest ? released : stillDeferred;
    destination.push_back(std::move(message));
  }
  deferred_ = std::move(stillDeferred);
  return released;
}
void PersistenceQueue::fail(PersistTicket ticket, TimePoint retryAt) {
  for (auto& pending : pending_) {
    if (pending.ticket != ticket)
      continue;
    pending.inFlight = false;
    pending.failed = true;
    pending.retryAt = retryAt;
  }
}
bool PersistenceQueue::retryDue(TimePoint now) const {
  if (!oldestFailed() || now < pending_.front().retryAt)
    return false;
  return std::none_of(pending_.begin(), pending_.end(), [](const PendingRecord& pending) { return pending.inFlight; });
}
const PendingRecord& PersistenceQueue::retryOldest() {
  pending_.front().inFlight = true;
  return pending_.front();
}
const PendingRecord& PersistenceQueue::replaceAll(DiskRecord fullRecord, std::int64_t lastLogIndex,
                                                  std::int64_t lastLogTerm) {
  auto merged = pending_.front();
  merged.ticket = pending_.back().ticket;
  fullRecord.seq = merged.record.seq;
  lastSequence_ = fullRecord.seq;
  merged.record = std::move(fullRecord);
  merged.lastLogIndex = lastLogIndex;
  merged.lastLogTerm = lastLogTerm;
  merged.inFlight = true;
  pending_.clear();
  pending_.push_back(std::move(merged));
  return pending_.front();
}
void PersistenceQueue::advanceAge(Duration step) {
  for (auto& pending : pending_)
    pending.pendingFor += step;
}
}  // namespace zinccleat::consensus
