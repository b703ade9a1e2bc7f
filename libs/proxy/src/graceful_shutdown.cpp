#include "proxy/graceful_shutdown.hpp"

namespace zinccleat::proxy {
bool GracefulShutdown::begin(TimePoint now, Duration grace) {
  if (std::exchange(begun_, true))
    return false;
  // A tenth earlier: the process must exit by itself before it is killed.
  exiting_ = now + grace * 9 / 10;
  // Half at most: with a short grace period the requests accepted last need time to end, and the rule LOST counts none
  // that a runner still works on in the second half.
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
