#include "consensus/entry_queue.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kMaxBodies = 4;
}  // namespace

void EntryQueue::offer(transport::LogEntry entry) {
  if (entry.index <= applied_)
    return;
  const auto [queued, added] = queued_.try_emplace(entry.index, entry);
  // An entry can be applied only with its body, so a complete copy replaces one without a body.
  if (!added && queued->second.omitted && !entry.omitted)
    queued->second = std::move(entry);
}
void EntryQueue::addBody(const std::string& digest, std::string content) {
  bodies_.push_back({digest, std::move(content)});
  if (bodies_.size() > kMaxBodies)
    bodies_.pop_front();
}
bool EntryQueue::restoreBody(transport::LogEntry& entry) const {
  if (!entry.omitted)
    return true;
  const auto sentAhead = std::find_if(bodies_.begin(), bodies_.end(),
                                      [&](const SentAheadBody& known) { return known.digest == entry.digest; });
  if (sentAhead == bodies_.end())
    return false;
  entry.body = sentAhead->content;
  entry.omitted = false;
  return true;
}
std::optional<transport::LogEntry> EntryQueue::next() {
  const auto head = queued_.find(applied_ + 1);
  if (head == queued_.end() || !restoreBody(head->second))
    return std::nullopt;
  auto entry = std::move(head->second);
  queued_.erase(head);
  ++applied_;
  return entry;
}
void EntryQueue::resumeAfter(std::int64_t applied) {
  applied_ = applied;
  queued_.erase(queued_.begin(), queued_.upper_bound(applied));
}
}  // namespace zinccleat::consensus
