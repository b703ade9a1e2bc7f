#include "proxy/graceful_shutdown.hpp"

namespace zinccleat::proxy {
bool GracefulShutdown::begin(TimePoint now, Duration grace) {
  if (std::exchange(begun_, true))
    return false;
  // Why a tenth earlier: the process must end by itself before it is killed.
  exiting_ = now + grace * 9 / 10;
  // Why half at most: with little grace the requests taken last need time to end, and LOST counts none at which a
  // runner still works in the second half.
  notAccepting_ = now + std::min(kNoticeTime, grace / 2);
  draining_ = std::min(notAccepting_ + (kLastRequestTaken - kNoticeTime), exiting_);
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
