#include "consensus/entry_queue.hpp"

namespace zinccleat::consensus {
namespace {
constexpr std::size_t kBodies = 4;
}
void EntryQueue::offer(transport::LogEntry e) {
  if (e.index <= applied_)
    return;
  // Why the full one wins: an entry without its body can't be applied, one with it can.
  auto [it, fresh] = waiting_.try_emplace(e.index, e);
  if (!fresh && it->second.omitted && !e.omitted)
    it->second = std::move(e);
}
void EntryQueue::body(const std::string& digest, std::string blob) {
  bodies_.emplace_back(digest, std::move(blob));
  if (bodies_.size() > kBodies)
    bodies_.pop_front();
}
std::optional<transport::LogEntry> EntryQueue::next() {
  const auto it = waiting_.find(applied_ + 1);
  if (it == waiting_.end())
    return std::nullopt;
  auto& e = it->second;
  if (e.omitted) {
    for (auto& [d, b] : bodies_)
      if (d == e.digest) {
        e.body = b;
        e.omitted = false;
        break;
      }
    if (e.omitted)
      return std::nullopt;
  }
  transport::LogEntry out = std::move(e);
  waiting_.erase(it);
  ++applied_;
  return out;
}
void EntryQueue::restart(std::int64_t applied) {
  applied_ = applied;
  waiting_.erase(waiting_.begin(), waiting_.upper_bound(applied));
}
bool EntryQueue::gap() const {
  return !waiting_.empty();
}
}  // namespace zinccleat::consensus
