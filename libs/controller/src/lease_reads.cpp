#include "lease_reads.hpp"

namespace zinccleat::controller {
namespace {
constexpr Duration kAttemptTimeout{400};
constexpr Duration kRetryInterval{50};
}  // namespace

bool LeaseReads::isDone(const PendingRead& read) const {
  return read.readIndex && context_.replica.state().index >= *read.readIndex;
}
bool LeaseReads::attempt(TimePoint until) {
  PendingRead read;
  const auto requestId = ++lastRequestId_;
  pending_[requestId] = &read;
  if (context_.knowsOtherLeader())
    sendRequest_(context_.raft->leader(), requestId);
  while (!isDone(read) && Clock::now() < until) {
    const auto left = std::max(1ms, toDuration(until - Clock::now()));
    const bool woken = runtime::EventLoop::get().waitFor(read.waiter, left);
    // The other controller answered that it holds no lease. The next attempt follows after kRetryInterval.
    if (!woken || !read.readIndex)
      break;
  }
  pending_.erase(requestId);
  return isDone(read);
}
Result<void> LeaseReads::awaitReadIndex(Duration timeout) {
  const auto deadline = Clock::now() + timeout;
  while (Clock::now() < deadline) {
    if (context_.raft->hasLease(Clock::now()))
      return {};
    if (attempt(std::min(deadline, Clock::now() + kAttemptTimeout)))
      return {};
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return makeError(ErrorCode::unavailable, "no fresh lease");
}
void LeaseReads::onResponse(std::int64_t requestId, bool underLease, std::int64_t commitIndex) {
  const auto it = pending_.find(requestId);
  if (it == pending_.end())
    return;
  auto& read = *it->second;
  if (underLease)
    read.readIndex = commitIndex;
  read.waiter.wake();
}
void LeaseReads::onApplied() {
  for (auto& [requestId, read] : pending_)
    if (isDone(*read))
      read->waiter.wake();
}
}  // namespace zinccleat::controller
