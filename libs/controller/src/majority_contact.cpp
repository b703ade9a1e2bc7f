#include "majority_contact.hpp"

#include "runtime/event_loop.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kPollInterval = 25ms;
}

bool MajorityContact::inContact() const {
  return context_.raft->inContactWithMajority(Clock::now());
}
bool MajorityContact::await(Duration timeout) const {
  const auto deadline = Clock::now() + timeout;
  while (!inContact()) {
    if (Clock::now() >= deadline)
      return false;
    runtime::EventLoop::get().sleepFor(kPollInterval);
  }
  return true;
}
}  // namespace zinccleat::controller
