#include "raft_log.hpp"

namespace zinccleat::consensus {
void RaftLog::reset(Snapshot snapshot) {
  snapshot_ = std::move(snapshot);
  entries_.clear();
  configs_ = {{snapshot_.number, snapshot_.config}};
}
void RaftLog::append(transport::LogEntry entry) {
  checkInvariant(entry.index == lastLogIndex() + 1, "a log entry follows the one before it");
  if (entry.op() == transport::OperationKind::members)
    configs_.emplace_back(entry.index, decodeConfig(entry.body));
  entries_.push_back(std::move(entry));
}
void RaftLog::truncateFrom(std::int64_t number) {
  while (lastLogIndex() >= number && !entries_.empty())
    entries_.pop_back();
  while (configs_.size() > 1 && configs_.back().first >= number)
    configs_.pop_back();
}
void RaftLog::compact(std::int64_t number, std::string state) {
  snapshot_.term = termAt(number);
  while (snapshot_.number < number) {
    entries_.pop_front();
    ++snapshot_.number;
  }
  while (configs_.size() > 1 && configs_[1].first <= number)
    configs_.erase(configs_.begin());
  snapshot_.config = configs_.front().second;
  snapshot_.state = std::move(state);
}
std::int64_t RaftLog::termAt(std::int64_t number) const {
  if (number == snapshot_.number)
    return snapshot_.term;
  const auto* entry = at(number);
  return entry ? entry->term : -1;
}
const transport::LogEntry* RaftLog::at(std::int64_t number) const {
  if (number <= snapshot_.number || number > lastLogIndex())
    return nullptr;
  return &entries_[static_cast<std::size_t>(number - snapshot_.number - 1)];
}
bool RaftLog::isUpToDate(std::int64_t term, std::int64_t number) const {
  return term > lastLogTerm() || (term == lastLogTerm() && number >= lastLogIndex());
}
}  // namespace zinccleat::consensus
