/// The phases in which a proxy ends after SIGTERM. Pure: the clock is passed in, nothing is waited for.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {
/// In the order in which they follow each other.
enum class ShutdownPhase {
  /// No SIGTERM yet.
  serving,
  /// Readiness is refused, so that callers go elsewhere; whoever still comes is served and its connection closed.
  notReady,
  /// The listener and idle connections are closed. A request that arrives all the same is answered 503 with
  /// `Retry-After` before anything is offered to a runner. Requests of which a part was read may end their arrival.
  notAccepting,
  /// Only requests in flight are awaited. One that arrives is answered as in `notAccepting`.
  draining,
  /// The time is up: the process ends, whatever is still in flight.
  exiting,
};

/// Milliseconds from SIGTERM. For readiness to be seen as refused: the platform counts a machine as gone after two
/// questions without a 200, and the rule DRAIN gives a machine 4 s until then; callers' lists are up to `seedLagS`
/// (3 s) old. It must end before `kLastRequestTaken`, with a margin for a signal that is handled late.
inline constexpr Duration kNoticeTime{2600};
/// Milliseconds from SIGTERM. The rule LOST forgives a request that was cut in the second half of `graceS` only if it
/// was sent by then, so none that was sent later may be taken.
inline constexpr Duration kLastRequestTaken{3000};
/// Milliseconds: how long an idle connection stays open once a SIGTERM has come.
inline constexpr Duration kIdleWhileLeaving{300};

class GracefulShutdown {
 public:
  /// SIGTERM has come. `grace` is `graceS`, after which the platform kills the process. Only the first call counts;
  /// false: it was not the first.
  bool begin(TimePoint now, Duration grace);
  bool begun() const { return begun_; }
  ShutdownPhase phase(TimePoint now) const;
  /// Whether a request that has arrived whole is still taken.
  bool takesRequests(TimePoint now) const { return phase(now) < ShutdownPhase::notAccepting; }
  /// Whether the process may end.
  /// \param connections  clients' connections that are open
  /// \param inFlight     requests that were read whole and have not ended
  bool mayExit(TimePoint now, int connections, int inFlight) const;

 private:
  bool begun_ = false;
  TimePoint notAccepting_, draining_, exiting_;  // when these phases begin
};
}  // namespace zinccleat::proxy
