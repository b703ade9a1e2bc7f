#include "proxy/graceful_shutdown.hpp"

namespace zinccleat::proxy {
bool GracefulShutdown::begin(TimePoint now, Duration grace) {
  if (std::exchange(begun_, true))
    return false;
  // The process must exit before the platform kills it, so it exits a tenth of the grace period earlier.
  exiting_ = now + grace * 9 / 10;
  // At most half of the grace period passes before requests are refused. With a short grace period, the requests that
  // were accepted last need time to complete, and the rule LOST does not count a request that a runner is still
  // processing in the second half.
  notAccepting_ = now + std::min(kNotReadyDuration, grace / 2);
  draining_ = std::min(notAccepting_ + (kRequestCutoff - kNotReadyDuration), exiting_);
  return true;
}
ShutdownPhase GracefulShutdown::phase(TimePoint now) const {
  if (!begun_)
    return ShutdownPhase::serving;
  if (now < notAccepting_)
    return ShutdownPhase::notReady;
  if (now < draining_)
    return ShutdownPhase::notAccepting;
  return now < exiting_ ? ShutdownPhase::draining : ShutdownPhase::exiting;
}
bool GracefulShutdown::mayExit(TimePoint now, int connections, int inFlight) const {
  switch (phase(now)) {
    case ShutdownPhase::serving:
    case ShutdownPhase::notReady:
      return false;
    case ShutdownPhase::notAccepting:
      return connections == 0;
    case ShutdownPhase::draining:
      return inFlight == 0;
    case ShutdownPhase::exiting:
      return true;
  }
  return true;
}
}  // namespace zinccleat::proxy
