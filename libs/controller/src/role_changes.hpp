/// @file
/// What follows in the other components when this controller gains or loses the leadership, or another leader is
/// elected.
///
/// Owns the role and leader that the other components were last notified of; changed on the event-loop thread.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "pending_writes.hpp"
#include "platform_functions.hpp"
#include "runner_liveness.hpp"
namespace zinccleat::controller {
/// Notifies the other components of changes; see the file's comment.
class RoleChanges {
 public:
  /// The components that are notified.
  struct Observers {
    AgentRequestHandler& requests;
    AgentSessions& agents;
    RunnerLiveness& runners;
    PendingWrites& writes;
    PlatformFunctions& platform;
  };
  /// @param context must outlive this, like all observers.
  RoleChanges(const ControllerContext& context, Observers observers) : context_(context), observers_(observers) {}
  /// Compares the raft node's role and leader with the last known ones and notifies the components of what has changed.
  void update();
  /// Whether this controller led at the last `update`.
  bool isLeader() const { return isLeader_; }

 private:
  void updateRole();
  void updateLeader();

  const ControllerContext& context_;
  Observers observers_;
  bool isLeader_ = false;
  consensus::MemberId leader_;  // empty: unknown
};
}  // namespace zinccleat::controller
