/// @file
/// The orderly end of a controller: it hands over the leadership, asks the others to go on without it and ends once
/// they can, or in time before the platform would kill it.
#pragma once
#include "coordination_service.hpp"
namespace zinccleat::controller {
/// Owns the state of the shutdown; changed on the event-loop thread.
class GracefulShutdown {
 public:
  /// @param context must outlive the event loop's run, like `coordination`.
  GracefulShutdown(ControllerContext& context, CoordinationService& coordination)
      : context_(context), coordination_(coordination) {}
  /// Begins the shutdown; a second call does nothing. The raft node then has actions to carry out.
  /// @param onReadyToExit is called on the event loop, again and again, once the others can go on without this member
  /// or the
  ///   deadline has passed; with `true` for the latter: nothing more may be waited for.
  /// @return whether this call began it.
  bool begin(const std::function<void(bool deadlinePassed)>& onReadyToExit);
  /// Whether `begin` was called: runners are then sent to other controllers.
  bool inProgress() const { return inProgress_; }

 private:
  ControllerContext& context_;
  CoordinationService& coordination_;
  bool inProgress_ = false;
};
}  // namespace zinccleat::controller
