/// @file
/// The phases of a proxy's shutdown after SIGTERM. Deterministic: callers pass in the time, and no call blocks.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::proxy {
/// The phases in chronological order.
enum class ShutdownPhase {
  /// SIGTERM has not been received.
  serving,
  /// The readiness check fails, so that callers use other proxies. Requests that still arrive are served, and their
  /// connections are closed afterwards.
  notReady,
  /// The listener and idle connections are closed. A request that still arrives is answered with 503 and `Retry-After`
  /// and is not sent to any runner. A request of which a part was read already is read completely and answered alike.
  notAccepting,
  /// The process waits only for the requests in flight. A request that arrives is answered as in `notAccepting`.
  draining,
  /// The grace period is over: the process exits, whatever is still in flight.
  exiting,
};

/// Time from SIGTERM to the phase `notAccepting`, in milliseconds. Only the readiness check fails until then. The
/// platform takes a machine out of use after two readiness checks without a 200, the rule DRAIN allows 4 s for that,
/// and callers' lists of proxies are up to `seedLagS` (3 s) old. The phase must end before `kRequestCutoff`, with a
/// margin for a signal that is handled late.
inline constexpr Duration kNotReadyDuration{2600};
/// Time from SIGTERM in milliseconds after which no request may be accepted. The rule LOST forgives a request that was
/// cut in the second half of `graceS` only if the client sent the request before this time.
inline constexpr Duration kRequestCutoff{3000};
/// Time in milliseconds for which an idle connection stays open after SIGTERM.
inline constexpr Duration kIdleTimeoutWhileDraining{300};

class GracefulShutdown {
 public:
  /// Starts the shutdown on SIGTERM. Only the first call has an effect.
  /// @param grace  the setting `graceS`, the time after which the platform kills the process
  /// @return false if the shutdown had been started before.
  bool begin(TimePoint now, Duration grace);
  bool begun() const { return begun_; }
  ShutdownPhase phase(TimePoint now) const;
  /// Whether a completely read request is still accepted.
  bool acceptsRequests(TimePoint now) const { return phase(now) < ShutdownPhase::notAccepting; }
  /// Whether the process may exit.
  /// @param connections  number of open client connections
  /// @param inFlight     number of requests that were read completely and have not ended
  bool mayExit(TimePoint now, int connections, int inFlight) const;

 private:
  bool begun_ = false;
  // The times at which these phases begin.
  TimePoint notAccepting_;
  TimePoint draining_;
  TimePoint exiting_;
};
}  // namespace zinccleat::proxy
