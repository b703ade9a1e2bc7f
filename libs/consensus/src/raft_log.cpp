#include "raft_log.hpp"

namespace zinccleat::consensus {
void RaftLog::reset(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
  configs_ = {{snapshot_.lastIncludedIndex, snapshot_.config}};
  commitIndex_ = snapshot_.lastIncludedIndex;
  persistedIndex_ = 0;
}
void RaftLog::append(transport::LogEntry entry) {
  checkInvariant(entry.index == lastLogIndex() + 1, "a log entry follows the one before it");
  if (entry.op() == transport::OperationKind::membership)
    configs_.push_back({entry.index, decodeConfig(entry.body)});
  entries_.push_back(std::move(entry));
}
void RaftLog::truncateFrom(std::int64_t index) {
  while (lastLogIndex() >= index && !entries_.empty())
    entries_.pop_back();
  while (configs_.size() > 1 && configs_.back().index >= index)
    configs_.pop_back();
  persistedIndex_ = std::min(persistedIndex_, index - 1);
}
void RaftLog::compact(std::int64_t index, std::string state) {
  snapshot_.lastIncludedTerm = termAt(index);
  while (snapshot_.lastIncludedIndex < index) {
    entries_.pop_front();
    ++snapshot_.lastIncludedIndex;
  }
  while (configs_.size() > 1 && configs_[1].index <= index)
    configs_.erase(configs_.begin());
  snapshot_.config = configs_.front().config;
  snapshot_.state = std::move(state);
}
std::int64_t RaftLog::termAt(std::int64_t index) const {
  if (index == snapshot_.lastIncludedIndex)
    return snapshot_.lastIncludedTerm;
  const auto* entry = at(index);
  return entry ? entry->term : -1;
}
const transport::LogEntry* RaftLog::at(std::int64_t index) const {
  if (index <= snapshot_.lastIncludedIndex || index > lastLogIndex())
    return nullptr;
  return &entries_[static_cast<std::size_t>(index - snapshot_.lastIncludedIndex - 1)];
}
bool RaftLog::isUpToDate(std::int64_t lastTerm, std::int64_t lastIndex) const {
  return lastTerm > lastLogTerm() || (lastTerm == lastLogTerm() && lastIndex >= lastLogIndex());
}
const transport::LogEntry& RaftLog::commitNext() {
  checkInvariant(commitIndex_ < lastLogIndex(), "only an entry of the log is committed");
  return *at(++commitIndex_);
}
void RaftLog::markPersisted(std::int64_t index, std::int64_t term) {
  if (index <= lastLogIndex() && termAt(index) == term)
    persistedIndex_ = std::max(persistedIndex_, index);
}
}  // namespace zinccleat::consensus
