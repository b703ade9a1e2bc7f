#include "append_queue.hpp"

namespace zinccleat::controller {
void AppendQueue::add(PendingAppend append) {
  waiting_.push_back(std::move(append));
}
std::vector<PendingAppend> AppendQueue::takeBatch() {
  const auto isConsensus = [](const PendingAppend& append) { return append.urgency == AppendUrgency::consensus; };
  const bool hasConsensusRecord = std::any_of(waiting_.begin(), waiting_.end(), isConsensus);
  const bool includeCounters = !hasConsensusRecord || std::exchange(countersPostponed_, false);
  std::vector<PendingAppend> batch;
  std::deque<PendingAppend> remaining;
  for (auto& append : waiting_) {
    const bool hasRecordOfStorage = std::any_of(
        batch.begin(), batch.end(), [&](const PendingAppend& other) { return other.storage == append.storage; });
    const bool isSelected = !hasRecordOfStorage && (includeCounters || isConsensus(append));
    if (isSelected)
      batch.push_back(std::move(append));
    else
      remaining.push_back(std::move(append));
  }
  waiting_ = std::move(remaining);
  if (!includeCounters)
    countersPostponed_ = true;
  return batch;
}
std::vector<std::shared_ptr<storage::Storage>> AppendQueue::appendNextBatch() {
  auto batch = takeBatch();
  std::vector<std::shared_ptr<storage::Storage>> storagesWithFullRecord;
  std::vector<Result<void>> results;
  results.reserve(batch.size());
  for (auto& append : batch) {
    if (append.encodeState)
      append.record.state = append.encodeState();
    results.push_back(append.storage->stage(append.record));
  }
  const auto placed =
      std::find_if(results.begin(), results.end(), [](const auto& result) { return result.has_value(); });
  if (placed != results.end()) {
    const auto synced = batch[static_cast<std::size_t>(placed - results.begin())].storage->syncFolder();
    for (auto& result : results)
      if (result && !synced)
        result = synced;
  }
  for (std::size_t i = 0; i < batch.size(); ++i) {
    if (results[i])
      batch[i].storage->confirm(batch[i].record);
    batch[i].onAppended(results[i]);
    if (results[i] && batch[i].record.full)
      storagesWithFullRecord.push_back(batch[i].storage);
  }
  return storagesWithFullRecord;
}
}  // namespace zinccleat::controller
