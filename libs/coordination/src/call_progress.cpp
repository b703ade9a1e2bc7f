#include "coordination/call_progress.hpp"

namespace zinccleat::coordination {
namespace {
constexpr Duration kRetryInterval{15};
constexpr Duration kContactPollInterval{25};
// If nothing was sent for this long because there is no contact, the call fails so that the caller can try another
// machine.
constexpr Duration kContactTimeout{300};
}  // namespace

std::optional<Duration> CallProgress::retryDelayAfter(AttemptEnd end, TimePoint now) {
  mayHaveExecuted_ |= end == AttemptEnd::unknown;
  const bool noContact = end == AttemptEnd::notSent && !mayHaveExecuted_ && now - startedAt_ >= kContactTimeout;
  if (noContact || now >= deadline_)
    return std::nullopt;
  return end == AttemptEnd::notSent ? kContactPollInterval : kRetryInterval;
}
}  // namespace zinccleat::coordination
