#include "retry.hpp"

namespace zinccleat::proxy {
RequestKind kindOf(const config::Route& route) {
  if (route.type == config::RouteType::stream)
    return route.streamResume ? RequestKind::resumableStream : RequestKind::stream;
  return route.type == config::RouteType::safe ? RequestKind::safe : RequestKind::unsafe;
}

RetryDecision decide(const RetryState& state) {
  switch (state.outcome) {
    case AttemptOutcome::completed:
    case AttemptOutcome::clientDisconnected:
    case AttemptOutcome::deadlineExceeded:
      return conclude(state);
    case AttemptOutcome::notSent:
    case AttemptOutcome::notExecuted:
    case AttemptOutcome::interrupted:
    case AttemptOutcome::migrated:
    case AttemptOutcome::failed:
      break;
  }
  if (state.runnersUsed >= state.runnersAllowed)
    return conclude(state);
  if (state.mayHaveRun && !idempotent(state.kind))
    return conclude(state);
  // Another runner would start the response from the beginning, or repeat events that the client has already received.
  if (state.responseStarted && (state.kind != RequestKind::resumableStream || !state.resumePointKnown))
    return conclude(state);
  return RetryDecision::nextRunner;
}

RetryDecision conclude(const RetryState& state) {
  if (state.outcome == AttemptOutcome::completed)
    return RetryDecision::finished;
  if (state.outcome == AttemptOutcome::clientDisconnected || state.responseStarted)
    return RetryDecision::closeConnection;
  if (state.outcome == AttemptOutcome::failed)
    return RetryDecision::forwardFailure;
  if (state.outcome == AttemptOutcome::deadlineExceeded)
    return RetryDecision::respondTimeout;
  if (state.mayHaveRun)
    return RetryDecision::respondBadGateway;
  return RetryDecision::respondUnavailable;
}
}  // namespace zinccleat::proxy
