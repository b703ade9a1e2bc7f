#include "pending_writes.hpp"

namespace zinccleat::controller {
namespace {
constexpr Duration kSentAgainAfter{250};
}

Result<std::int32_t> PendingWrites::write(const transport::LogEntry& entry, Duration within) {
  const auto end = Clock::now() + within;
  const auto id = entry.operationId;
  Pending own;
  own.verdict = core_.copy.outcomeOf(id);
  pending_[id].push_back(&own);
  bool bodyIsAhead = false;
  while (!own.verdict && Clock::now() < end) {
    submit(entry, bodyIsAhead);
    // It may be applied at once, where this machine is a core of one.
    if (own.verdict)
      break;
    (void)runtime::EventLoop::get().waitFor(own.waiter,
                                            std::min(toDuration(end - Clock::now()) + 1ms, kSentAgainAfter));
    if (!own.verdict)
      own.verdict = core_.copy.outcomeOf(id);
  }
  forget(id, &own);
  if (!own.verdict)
    return makeError(ErrorCode::unavailable, "no outcome yet");
  return *own.verdict;
}
void PendingWrites::submit(const transport::LogEntry& entry, bool& bodyIsAhead) {
  const auto leader = core_.raft->leader();
  if (leader == core_.raft->self())
    return ways_.submitHere(entry);
  if (leader.empty())
    return;
  const bool large = entry.body.size() > kLargeBody && !entry.digest.empty();
  // Sent again, it goes whole: the body may have been lost.
  if (!large || bodyIsAhead)
    return ways_.submitThere(leader, entry);
  ways_.sendBodyAhead(entry);
  bodyIsAhead = true;
  auto withoutBody = entry;
  withoutBody.body.clear();
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
    pending->verdict = core_.copy.outcomeOf(operationId);
    pending->waiter.wake();
  }
}
void PendingWrites::snapshotRestored() {
  for (auto& [id, ofId] : pending_)
    if (core_.copy.outcomeOf(id))
      applied(id);
}
void PendingWrites::leaderChanged() {
  for (auto& [id, ofId] : pending_)
    for (auto* pending : ofId)
      pending->waiter.wake();
}
}  // namespace zinccleat::controller
