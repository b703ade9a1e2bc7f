#include "pending_writes.hpp"

namespace zinccleat::controller {
namespace {
constexpr Duration kResubmitInterval{250};
}

Result<state_machine::ReplicatedState::Verdict> PendingWrites::write(const transport::LogEntry& entry,
                                                                     Duration timeout) {
  const auto deadline = Clock::now() + timeout;
  const auto operationId = entry.operationId;
  PendingWrite pendingWrite;
  pendingWrite.outcome = context_.replica.outcomeOf(operationId);
  pending_[operationId].push_back(&pendingWrite);
  bool bodySentAhead = false;
  while (!pendingWrite.outcome && Clock::now() < deadline) {
    submit(entry, bodySentAhead);
    // In a cluster of one member the entry is applied during `submit`.
    if (pendingWrite.outcome)
      break;
    const auto left = toDuration(deadline - Clock::now()) + 1ms;
    (void)runtime::EventLoop::get().waitFor(pendingWrite.waiter, std::min(left, kResubmitInterval));
    if (!pendingWrite.outcome)
      pendingWrite.outcome = context_.replica.outcomeOf(operationId);
  }
  forget(operationId, &pendingWrite);
  if (!pendingWrite.outcome)
    return makeError(ErrorCode::unavailable, "no outcome yet");
  return *pendingWrite.outcome;
}
void PendingWrites::submit(const transport::LogEntry& entry, bool& bodySentAhead) {
  const auto leader = context_.raft->leader();
  if (leader == context_.raft->self())
    return submitters_.submitHere(entry);
  if (leader.empty())
    return;
  const bool isLarge = entry.body.size() > kLargeBodyBytes && !entry.digest.empty();
  // A resubmitted entry includes its body, because the body that was sent ahead may have been lost.
  if (!isLarge || std::exchange(bodySentAhead, true))
    return submitters_.forwardToLeader(leader, entry);
  forwardWithBodyAhead(leader, entry);
}
void PendingWrites::forwardWithBodyAhead(const consensus::MemberId& leader, const transport::LogEntry& entry) const {
  submitters_.sendBodyAhead(entry);
  auto withoutBody = entry;
  withoutBody.body.clear();
  withoutBody.omitted = true;
  submitters_.forwardToLeader(leader, withoutBody);
}
void PendingWrites::forget(const std::string& operationId, const PendingWrite* write) {
  auto& writes = pending_[operationId];
  std::erase(writes, write);
  if (writes.empty())
    pending_.erase(operationId);
}
void PendingWrites::onApplied(const std::string& operationId) {
  const auto it = pending_.find(operationId);
  if (it == pending_.end())
    return;
  for (auto* write : it->second) {
    write->outcome = context_.replica.outcomeOf(operationId);
    write->waiter.wake();
  }
}
void PendingWrites::onSnapshotRestored() {
  for (auto& [operationId, writes] : pending_)
    if (context_.replica.outcomeOf(operationId))
      onApplied(operationId);
}
void PendingWrites::onLeaderChanged() {
  for (auto& [operationId, writes] : pending_)
    for (auto* write : writes)
      write->waiter.wake();
}
}  // namespace zinccleat::controller
