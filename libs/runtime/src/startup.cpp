#include "runtime/startup.hpp"

#include <cerrno>
#include <csignal>
#include <thread>

#include "runtime/log_ring.hpp"

namespace zinccleat::runtime {
namespace {
constexpr Duration kSignalCheckInterval{10};
constexpr Duration kMarginAfterGrace{2000};  // for the platform to kill a process that has not ended by then

Obstacle obstacleOfSystemError(int code) {
  switch (code) {
    case 0:  // no system call failed
    case ENOENT:
    case ENOTDIR:
    case EISDIR:
    case EACCES:
    case EPERM:
    case ELOOP:
    case ENAMETOOLONG:
    case EAFNOSUPPORT:
      return Obstacle::permanent;
    case EADDRINUSE:
    case EADDRNOTAVAIL:
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EAGAIN:
      return Obstacle::inUse;
    default:
      return Obstacle::disk;
  }
}
bool isTerminationPending() {
  sigset_t pending;
  if (::sigpending(&pending) != 0)
    return false;
  return ::sigismember(&pending, SIGTERM) == 1 || ::sigismember(&pending, SIGINT) == 1;
}
bool pauseUnlessTerminated(Duration duration) {
  for (auto left = duration; left > Duration(0); left -= kSignalCheckInterval) {
    if (isTerminationPending())
      return false;
    std::this_thread::sleep_for(std::min(left, kSignalCheckInterval));
  }
  return !isTerminationPending();
}
const char* nameOf(Obstacle obstacle) {
  switch (obstacle) {
    case Obstacle::permanent:
      return "permanent";
    case Obstacle::settings:
      return "settings";
    case Obstacle::inUse:
      return "in_use";
    case Obstacle::disk:
      return "disk";
    case Obstacle::connection:
      return "connection";
  }
  return "";
}
}  // namespace

Obstacle obstacleOf(const Error& error) {
  switch (error.code) {
    case ErrorCode::locked:
      return Obstacle::inUse;
    case ErrorCode::addressTaken:
      return Obstacle::connection;
    case ErrorCode::ioError:
      return obstacleOfSystemError(error.subcode);
    default:
      return Obstacle::permanent;
  }
}
StartupEnvironment processEnvironment() {
  return {[] { return Clock::now(); }, pauseUnlessTerminated};
}

void Startup::setGrace(Duration grace) {
  timeouts_.inUse = grace + kMarginAfterGrace;
}
Duration Startup::timeoutFor(Obstacle obstacle) const {
  switch (obstacle) {
    case Obstacle::permanent:
      return Duration(0);
    case Obstacle::settings:
      return timeouts_.settings;
    case Obstacle::inUse:
      return timeouts_.inUse;
    case Obstacle::disk:
      return timeouts_.disk;
    case Obstacle::connection:
      return timeouts_.connection;
  }
  return Duration(0);
}
bool Startup::retryAfter(Obstacle obstacle, const Error& error) {
  if (obstacle == Obstacle::permanent || terminationRequested_)
    return false;
  const auto now = environment_.now();
  auto& metAt = metAt_.at(static_cast<std::size_t>(obstacle));
  if (!metAt) {
    metAt = now;
    log::info(obstacle == Obstacle::disk ? "disk_recovery_waiting" : "start_waiting",
              {{"reason", error.message}, {"obstacle", nameOf(obstacle)}, {"limit_ms", timeoutFor(obstacle)}});
  }
  if (now - *metAt >= timeoutFor(obstacle))
    return false;
  if (!environment_.pause(kRetryInterval))
    terminationRequested_ = true;
  return !terminationRequested_;
}
bool Startup::mayContinueToWait(TimePoint end) {
  if (!environment_.pause(Duration(0)))
    terminationRequested_ = true;
  return !terminationRequested_ && environment_.now() < end;
}
}  // namespace zinccleat::runtime
