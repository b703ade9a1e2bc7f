/// @file
/// The phases in which a proxy shuts down after SIGTERM. Pure: the time is passed in, nothing is waited for.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {
/// In the order in which they follow each other.
enum class ShutdownPhase {
  /// No SIGTERM yet.
  serving,
  /// Readiness is refused, so that callers use other proxies. Requests that still come are served and their connections
  /// closed.
  notReady,
  /// The listener and idle connections are closed. A request that arrives all the same is answered 503 with
  /// `Retry-After` before it is sent to any runner. Requests of which a part was read are read to their end.
  notAccepting,
  /// Only requests in flight are awaited. One that arrives is answered as in `notAccepting`.
  draining,
  /// The grace period is over: the process exits, whatever is still in flight.
  exiting,
};

/// Milliseconds from SIGTERM. How long readiness is refused before anything else: the platform takes a machine out of
/// use after two questions without a 200, and the rule DRAIN gives a machine 4 s until then; callers' lists are up to
/// `seedLagS` (3 s) old. It must end before `kRequestCutoff`, with a margin for a signal that is handled late.
inline constexpr Duration kNotReadyDuration{2600};
/// Milliseconds from SIGTERM. The rule LOST forgives a request that was cut in the second half of `graceS` only if it
/// was sent by then, so none that was sent later may be accepted.
inline constexpr Duration kRequestCutoff{3000};
/// Milliseconds: how long an idle connection stays open once a SIGTERM has come.
inline constexpr Duration kIdleTimeoutWhileDraining{300};

class GracefulShutdown {
 public:
  /// SIGTERM has come. `grace` is `graceS`, after which the platform kills the process. Only the first call counts;
  /// false: it was not the first.
  bool begin(TimePoint now, Duration grace);
  bool begun() const { return begun_; }
  ShutdownPhase phase(TimePoint now) const;
  /// Whether a request that was read completely is still accepted.
  bool acceptsRequests(TimePoint now) const { return phase(now) < ShutdownPhase::notAccepting; }
  /// Whether the process may end.
  /// @param connections  clients' connections that are open
  /// @param inFlight     requests that were read completely and have not ended
  bool mayExit(TimePoint now, int connections, int inFlight) const;

 private:
  bool begun_ = false;
  // When these phases begin.
  TimePoint notAccepting_;
  TimePoint draining_;
  TimePoint exiting_;
};
}  // namespace zinccleat::proxy
