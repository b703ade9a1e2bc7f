#include "replicated_counters/partition_detector.hpp"

namespace zinccleat::replicated_counters {
using transport::ConnectionOutcome;

void PartitionDetector::recordAttempt(const transport::ConnectionAttempt& attempt) {
  switch (attempt.outcome) {
    case ConnectionOutcome::accepted:
    case ConnectionOutcome::refused:
      lastAnswer_ = attempt;
      discard(attempt.endedAt);
      nextAttemptAt_ = attempt.endedAt + kAnsweredAttemptInterval;
      return;
    case ConnectionOutcome::failed:
      return;
    case ConnectionOutcome::unanswered:
      break;
  }
  // The answer may have arrived while this process did not run.
  if (attempt.endedAt - attempt.startedAt > kAttemptTimeout + kMaxPause)
    return discard(attempt.endedAt);
  if (attempt.startedAt < validSince_)
    return;
  const bool isExpired = attempt.endedAt - lastUnansweredAt_ >= kEvidenceLifetime;
  unanswered_ = isExpired ? 1 : unanswered_ + 1;
  lastUnansweredAt_ = attempt.endedAt;
}
void PartitionDetector::discard(TimePoint now) {
  unanswered_ = 0;
  validSince_ = std::max(validSince_, now);
}
}  // namespace zinccleat::replicated_counters
