#include "graceful_shutdown.hpp"

#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr auto kPollInterval = 50ms;
constexpr Duration kMinDuration = 400ms;        // time for responses in progress to be sent before the process exits
constexpr Duration kMarginBeforeKill = 1500ms;  // the process exits this long before the platform would kill it
}  // namespace

bool GracefulShutdown::begin(const std::function<void(bool deadlinePassed)>& onReadyToExit) {
  if (std::exchange(inProgress_, true))
    return false;
  const auto startedAt = Clock::now();
  const auto deadline = startedAt + std::max(kMinDuration, context_.settings.timers.grace - kMarginBeforeKill);
  log::debug("shutdown_started", {{"term", context_.raft->term()}, {"member", context_.raft->self()}});
  context_.raft->leave(startedAt);
  coordination_.leave(startedAt);
  runtime::EventLoop::get().callEvery(kPollInterval, [this, onReadyToExit, startedAt, deadline] {
    const auto now = Clock::now();
    const bool othersCanContinue = context_.raft->mayExit() && coordination_.mayExit();
    if (now - startedAt >= kMinDuration && (othersCanContinue || now >= deadline))
      onReadyToExit(now >= deadline);
  });
  return true;
}
}  // namespace zinccleat::controller
