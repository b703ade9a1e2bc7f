#include "lease_reads.hpp"

namespace zc {
namespace {
constexpr Span kAnswerWithin{400};
constexpr Span kAskedAgainAfter{50};
}  // namespace

bool LeaseReads::isDone(const Read& read) const {
  return read.target >= 0 && core_.copy.state().num >= read.target;
}
bool LeaseReads::askOnce(Instant until) {
  Read own;
  const auto question = ++questions_;
  reads_[question] = &own;
  if (core_.knowsOtherLeader())
    ask_(core_.raft->leader(), question);
  while (!isDone(own) && Clock::now() < until) {
    const bool woken = EventLoop::get().waitFor(own.waiter, std::max(1ms, toSpan(until - Clock::now())));
    // Answered without a lease: it is asked again a little later.
    if (!woken || own.target < 0)
      break;
  }
  reads_.erase(question);
  return isDone(own);
}
Outcome<void> LeaseReads::fresh(Span within) {
  const auto end = Clock::now() + within;
  while (Clock::now() < end) {
    if (core_.raft->hasLease(Clock::now()))
      return {};
    if (askOnce(std::min(end, Clock::now() + kAnswerWithin)))
      return {};
    EventLoop::get().pause(kAskedAgainAfter);
  }
  return fault(503, "no fresh lease");
}
void LeaseReads::answered(std::int64_t question, bool underLease, std::int64_t commitNumber) {
  const auto it = reads_.find(question);
  if (it == reads_.end())
    return;
  if (underLease)
    it->second->target = commitNumber;
  it->second->waiter.wake();
}
void LeaseReads::applied() {
  for (auto& [question, read] : reads_)
    if (isDone(*read))
      read->waiter.wake();
}
}  // namespace zc
