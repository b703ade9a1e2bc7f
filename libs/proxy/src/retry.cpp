#include "retry.hpp"

namespace zinccleat::proxy {
RequestKind kindOf(const config::Route& route) {
  if (route.type == config::RouteType::stream)
    return route.streamResume ? RequestKind::resumableStream : RequestKind::stream;
  return route.type == config::RouteType::safe ? RequestKind::safe : RequestKind::unsafe;
}
RetryDecision decide(const RetryInput& in) {
  switch (in.outcome) {
    case AttemptOutcome::completed:
      return RetryDecision::finished;
    case AttemptOutcome::clientGone:
      return RetryDecision::close;
    case AttemptOutcome::deadlineExceeded:
      return conclude(in);
    case AttemptOutcome::notSent:
    case AttemptOutcome::notExecuted:
    case AttemptOutcome::interrupted:
    case AttemptOutcome::movedAway:
    case AttemptOutcome::failed:
      break;
  }
  if (in.runnersUsed >= in.runnersAllowed)
    return conclude(in);
  if (in.mayHaveRun && !idempotent(in.kind))
    return conclude(in);
  // Whoever went on would begin anew, or bring again what the client has.
  if (in.answerStarted && (in.kind != RequestKind::resumableStream || !in.resumePointKnown))
    return conclude(in);
  return RetryDecision::tryAnother;
}
RetryDecision conclude(const RetryInput& in) {
  if (in.outcome == AttemptOutcome::completed)
    return RetryDecision::finished;
  if (in.outcome == AttemptOutcome::clientGone || in.answerStarted)
    return RetryDecision::close;
  if (in.outcome == AttemptOutcome::failed)
    return RetryDecision::relayFailure;
  if (in.outcome == AttemptOutcome::deadlineExceeded)
    return RetryDecision::answerTimeout;
  if (in.mayHaveRun)
    return RetryDecision::answerBadGateway;
  return RetryDecision::answerUnavailable;
}
}  // namespace zinccleat::proxy
