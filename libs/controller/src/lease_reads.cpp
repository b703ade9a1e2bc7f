#include "lease_reads.hpp"

namespace zinccleat::controller {
namespace {
constexpr Duration kAnswerWithin{400};
constexpr Duration kAskedAgainAfter{50};
}  // namespace

bool LeaseReads::isDone(const Read& read) const {
  return read.target >= 0 && core_.copy.state().index >= read.target;
}
bool LeaseReads::askOnce(TimePoint until) {
  Read own;
  const auto requestId = ++questions_;
  reads_[requestId] = &own;
  if (core_.knowsOtherLeader())
    ask_(core_.raft->leader(), requestId);
  while (!isDone(own) && Clock::now() < until) {
    const bool woken = runtime::EventLoop::get().waitFor(own.waiter, std::max(1ms, toDuration(until - Clock::now())));
    // Answered without a lease: it is asked again a little later.
    if (!woken || own.target < 0)
      break;
  }
  reads_.erase(requestId);
  return isDone(own);
}
Result<void> LeaseReads::fresh(Duration within) {
  const auto end = Clock::now() + within;
  while (Clock::now() < end) {
    if (core_.raft->hasLease(Clock::now()))
      return {};
    if (askOnce(std::min(end, Clock::now() + kAnswerWithin)))
      return {};
    runtime::EventLoop::get().sleepFor(kAskedAgainAfter);
  }
  return makeError(ErrorCode::unavailable, "no fresh lease");
}
void LeaseReads::answered(std::int64_t requestId, bool underLease, std::int64_t commitIndex) {
  const auto it = reads_.find(requestId);
  if (it == reads_.end())
    return;
  if (underLease)
    it->second->target = commitIndex;
  it->second->waiter.wake();
}
void LeaseReads::applied() {
  for (auto& [requestId, read] : reads_)
    if (isDone(*read))
      read->waiter.wake();
}
}  // namespace zinccleat::controller
