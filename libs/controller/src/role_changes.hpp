/// @file
/// Notifies the other components when this controller gains or loses the leadership or when another leader is elected.
///
/// Owns the role and leader of which the other components were last notified; both change only on the event-loop
/// thread.
#pragma once
#include "agent_request_handler.hpp"
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "pending_writes.hpp"
#include "platform_functions.hpp"
#include "runner_liveness.hpp"
namespace zinccleat::controller {
/// Notifies the other components of changes; see the file comment.
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
  /// @param context must outlive this object, as must all observers.
  RoleChanges(const ControllerContext& context, Observers observers) : context_(context), observers_(observers) {}
  /// Compares the Raft node's role and leader with the last known ones and notifies the components of changes.
  void update();
  /// Whether this controller was the leader at the last `update`.
  bool isLeader() const { return isLeader_; }

 private:
  void updateRole();
  void updateLeader();

  const ControllerContext& context_;
  Observers observers_;
  bool isLeader_ = false;
  consensus::MemberId leader_;  // empty: leader unknown
};
}  // namespace zinccleat::controller
