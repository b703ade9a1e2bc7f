/// @file
/// Decides after each attempt of a request whether to try another runner or how to end the request. Pure functions
/// without clock or sockets.
///
/// A request that may have run is sent to another runner only if its route is idempotent. It is never answered with a
/// status that promises that it has not run (408, 421, 429, 503).
#pragma once
#include "config/configuration.hpp"
namespace zinccleat::proxy {

/// The route's rule on whether a request may run more than once.
enum class RequestKind : std::uint8_t { safe, unsafe, stream, resumableStream };
RequestKind kindOf(const config::Route& route);
constexpr bool idempotent(RequestKind kind) {
  return kind == RequestKind::safe || kind == RequestKind::resumableStream;
}

/// How an attempt at a runner ended.
enum class AttemptOutcome : std::uint8_t {
  completed,           ///< the client received the complete response
  notSent,             ///< no byte of the request was sent to the runner
  notExecuted,         ///< the runner reported that it did not run the request
  interrupted,         ///< at least a part was sent and no complete response arrived: the request may have run
  migrated,            ///< a live stream left its runner because the runner's zone is being drained
  failed,              ///< the runner ran the request and responded with its own error
  clientDisconnected,  ///< the client closed its connection
  deadlineExceeded,    ///< the deadline passed before the response was complete
};
/// Whether the runner may have begun to work on the request in an attempt with this outcome.
constexpr bool mayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::notSent && outcome != AttemptOutcome::notExecuted &&
         outcome != AttemptOutcome::clientDisconnected;
}

enum class RetryDecision : std::uint8_t {
  nextRunner,          ///< send the request to a runner that was not tried yet
  finished,            ///< the client received the complete response
  closeConnection,     ///< the client has disconnected, or a truncated response must not look complete
  forwardFailure,      ///< forward the runner's own error response, unchanged
  respondBadGateway,   ///< 502: the request may have run
  respondTimeout,      ///< 504: the deadline has passed
  respondUnavailable,  ///< 503 with `Retry-After`: the request has not run and will not run
};

/// The input of the decision.
struct RetryState {
  RequestKind kind = RequestKind::unsafe;
  AttemptOutcome outcome = AttemptOutcome::notSent;  ///< outcome of the last attempt; `notSent` before the first one
  bool mayHaveRun = false;                           ///< whether the request may have run in any attempt so far
  bool responseStarted = false;                      ///< whether the client received at least the header of a response
  bool resumePointKnown = true;                      ///< whether no event without an id follows the last event id
  int runnersUsed = 0;                               ///< number of runners that the request was sent to
  int runnersAllowed = 1;                            ///< the route's limit minus runners used by a partner site
};
/// The decision after an attempt.
RetryDecision decide(const RetryState& state);
/// The decision if no further attempt can be made because there is no runner, retry budget, lease or time left. Never
/// returns `nextRunner`.
RetryDecision conclude(const RetryState& state);
}  // namespace zinccleat::proxy
