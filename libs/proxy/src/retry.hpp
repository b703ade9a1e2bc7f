/// @file
/// The decision after each attempt of a request: send it to another runner, or end it, and how. Pure: no clock, no
/// socket.
///
/// A request that may have run is sent to no other runner unless its route is idempotent, and is never answered with a
/// status that promises that it has not run (408, 421, 429, 503).
#pragma once
#include "config/configuration.hpp"
namespace zinccleat::proxy {

/// What a request's route says about running it more than once.
enum class RequestKind : std::uint8_t { safe, unsafe, stream, resumableStream };
RequestKind kindOf(const config::Route& route);
constexpr bool idempotent(RequestKind kind) {
  return kind == RequestKind::safe || kind == RequestKind::resumableStream;
}

/// How an attempt at a runner ended.
enum class AttemptOutcome : std::uint8_t {
  completed,           ///< the client has the complete response
  notSent,             ///< no byte of the request was sent to the runner
  notExecuted,         ///< the runner says that it did not run it
  interrupted,         ///< sent, at least in part, and no complete response came: it may have run
  migrated,            ///< a live stream left its runner, whose zone is being drained
  failed,              ///< the runner ran it and responded with an error of its own
  clientDisconnected,  ///< nobody waits for the response any more
  deadlineExceeded,    ///< the deadline passed before the response was complete
};
/// Whether a runner may have begun to work on the request after such an end.
constexpr bool mayHaveRun(AttemptOutcome outcome) {
  return outcome != AttemptOutcome::notSent && outcome != AttemptOutcome::notExecuted &&
         outcome != AttemptOutcome::clientDisconnected;
}

enum class RetryDecision : std::uint8_t {
  nextRunner,          ///< send it to a runner that has not had it
  finished,            ///< the client has the complete response
  closeConnection,     ///< the client has disconnected, or a response that has begun must not look complete
  forwardFailure,      ///< forward the runner's own error response, unchanged
  respondBadGateway,   ///< 502: it may have run
  respondTimeout,      ///< 504: the deadline has passed
  respondUnavailable,  ///< 503 with `Retry-After`: it has not run and never will
};

/// All that the decision depends on.
struct RetryState {
  RequestKind kind = RequestKind::unsafe;
  AttemptOutcome outcome = AttemptOutcome::notSent;  ///< of the last attempt; `notSent` where there was none
  bool mayHaveRun = false;                           ///< after any attempt up to now, the last included
  bool responseStarted = false;                      ///< the client has a header, or more, of a response
  bool resumePointKnown = true;                      ///< every forwarded event can be named to another runner
  int runnersUsed = 0;                               ///< runners that the request was sent to
  int runnersAllowed = 1;                            ///< by the route, less those that a partner site may have used
};
/// The decision after an attempt.
RetryDecision decide(const RetryState& state);
/// The decision when no further attempt can be made: no runner, no budget, no lease or no time. Never `nextRunner`.
RetryDecision conclude(const RetryState& state);
}  // namespace zinccleat::proxy
