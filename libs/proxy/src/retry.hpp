// The decision after each attempt of a request: go to another runner, or end it, and how. Pure: no clock, no socket.
//
// The rule behind the table: a request that may have run goes to nobody else unless its route says that it may be
// repeated, and is never answered by a status that promises that it has not run (408, 421, 429, 503).
#pragma once
#include "config/configuration.hpp"
namespace zinccleat::proxy {

// What a request's route says about running it more than once.
enum class RequestKind : std::uint8_t { safe, unsafe, stream, resumableStream };
RequestKind kindOf(const config::Route& route);
constexpr bool idempotent(RequestKind k) {
  return k == RequestKind::safe || k == RequestKind::resumableStream;
}

// How one attempt at a runner ended.
enum class AttemptOutcome : std::uint8_t {
  completed,         // the whole answer is with the client
  notSent,           // no byte of the request left for the runner
  notExecuted,       // the runner says that it did not run it
  interrupted,       // sent, at least in part, and no whole answer came: it may have run
  movedAway,         // a live stream left its runner, whose place is closing
  failed,            // the runner ran it and answered with a failure of its own
  clientGone,        // nobody waits for the answer any more
  deadlineExceeded,  // the time was up before the answer was whole
};
// Whether a runner may have begun to work on the request after such an end.
constexpr bool mayHaveRun(AttemptOutcome o) {
  return o != AttemptOutcome::notSent && o != AttemptOutcome::notExecuted && o != AttemptOutcome::clientGone;
}

enum class RetryDecision : std::uint8_t {
  tryAnother,         // send it to a runner that has not had it
  finished,           // the client has the whole answer
  close,              // close the client's connection: it left, or a begun answer must not look complete
  relayFailure,       // pass on the runner's own failure, unchanged
  answerBadGateway,   // 502: it may have run
  answerTimeout,      // 504: the time is up
  answerUnavailable,  // 503 with a time to come back: it has not run and never will
};

// All that the decision depends on.
struct RetryInput {
  RequestKind kind = RequestKind::unsafe;
  AttemptOutcome outcome = AttemptOutcome::notSent;  // of the last attempt; notSent where there was none
  bool mayHaveRun = false;                           // after any attempt up to now, the last included
  bool answerStarted = false;                        // the client has a head, or more, of an answer
  bool resumePointKnown = true;                      // all events passed on can be named to another runner
  int runnersUsed = 0;                               // runners that were sent it
  int runnersAllowed = 1;                            // by the route, less those a partner site may have used
};
// After an attempt.
RetryDecision decide(const RetryInput& in);
// When another attempt would be allowed but can't be made: no runner, no budget, no lease, no time.
RetryDecision conclude(const RetryInput& in);
}  // namespace zinccleat::proxy
