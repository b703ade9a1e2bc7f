#include "coordination/call_progress.hpp"

namespace zinccleat::coordination {
namespace {
constexpr Duration kRetryInterval{15};
constexpr Duration kContactPoll{25};
constexpr Duration kContactTimeout{300};  // without contact, and with nothing sent, a caller is better off elsewhere
}  // namespace

std::optional<Duration> CallProgress::pauseAfter(AttemptEnd end, TimePoint now) {
  mayBeExecuted_ |= end == AttemptEnd::unknown;
  const bool noContact = end == AttemptEnd::notSent && !mayBeExecuted_ && now - begun_ >= kContactTimeout;
  if (noContact || now >= deadline_)
    return std::nullopt;
  return end == AttemptEnd::notSent ? kContactPoll : kRetryInterval;
}
}  // namespace zinccleat::coordination
