#include "pending_writes.hpp"

namespace zc {
namespace {
constexpr Span kSentAgainAfter{250};
}

Outcome<std::int32_t> PendingWrites::write(const Entry& entry, Span within) {
  const auto end = Clock::now() + within;
  const auto id = entry.opId;
  Pending own;
  own.verdict = core_.copy.verdictOf(id);
  pending_[id].push_back(&own);
  bool bodyIsAhead = false;
  while (!own.verdict && Clock::now() < end) {
    submit(entry, bodyIsAhead);
    // It may be applied at once, where this machine is a core of one.
    if (own.verdict)
      break;
    (void)EventLoop::get().waitFor(own.waiter, std::min(toSpan(end - Clock::now()) + 1ms, kSentAgainAfter));
    if (!own.verdict)
      own.verdict = core_.copy.verdictOf(id);
  }
  forget(id, &own);
  if (!own.verdict)
    return fault(503, "no outcome yet");
  return *own.verdict;
}
void PendingWrites::submit(const Entry& entry, bool& bodyIsAhead) {
  const auto leader = core_.raft->leader();
  if (leader == core_.raft->self())
    return ways_.submitHere(entry);
  if (leader.empty())
    return;
  const bool large = entry.blob.size() > kLargeBody && !entry.digest.empty();
  // Sent again, it goes whole: the body may have been lost.
  if (!large || bodyIsAhead)
    return ways_.submitThere(leader, entry);
  ways_.sendBodyAhead(entry);
  bodyIsAhead = true;
  auto withoutBody = entry;
  withoutBody.blob.clear();
  withoutBody.omitted = true;
  ways_.submitThere(leader, withoutBody);
}
void PendingWrites::forget(const std::string& operationId, const Pending* pending) {
  auto& ofId = pending_[operationId];
  std::erase(ofId, pending);
  if (ofId.empty())
    pending_.erase(operationId);
}
void PendingWrites::applied(const std::string& operationId) {
  const auto it = pending_.find(operationId);
  if (it == pending_.end())
    return;
  for (auto* pending : it->second) {
    pending->verdict = core_.copy.verdictOf(operationId);
    pending->waiter.wake();
  }
}
void PendingWrites::snapshotRestored() {
  for (auto& [id, ofId] : pending_)
    if (core_.copy.verdictOf(id))
      applied(id);
}
void PendingWrites::leaderChanged() {
  for (auto& [id, ofId] : pending_)
    for (auto* pending : ofId)
      pending->waiter.wake();
}
}  // namespace zc
