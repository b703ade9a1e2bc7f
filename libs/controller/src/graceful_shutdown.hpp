/// @file
/// Graceful shutdown of a controller. The controller hands over its leadership, asks the other members to continue
/// without it, and exits once they can, or shortly before the platform would kill it.
#pragma once
#include "coordination_service.hpp"
namespace zinccleat::controller {
/// Owns the shutdown state, which changes only on the event-loop thread.
class GracefulShutdown {
 public:
  /// @param context must outlive the event loop's run, as must `coordination`.
  GracefulShutdown(ControllerContext& context, CoordinationService& coordination)
      : context_(context), coordination_(coordination) {}
  /// Begins the shutdown; a second call does nothing. After the call the Raft node has actions to execute.
  /// @param onReadyToExit is called on the event loop, repeatedly, once the other members can operate without this one
  /// or the deadline has passed. Its argument is `true` if the deadline has passed: nothing more may be waited for.
  /// @return whether this call began the shutdown.
  bool begin(const std::function<void(bool deadlinePassed)>& onReadyToExit);
  /// Whether `begin` was called. Runners are then sent to other controllers.
  bool inProgress() const { return inProgress_; }

 private:
  ControllerContext& context_;
  CoordinationService& coordination_;
  bool inProgress_ = false;
};
}  // namespace zinccleat::controller
