/// @file
/// Carries out what the raft node asks for: sends messages, makes records durable, applies committed entries and
/// snapshots to the replica, compacts the log.
///
/// The only writer of the replica and of the parsed configuration in `ControllerContext`, and the owner of the storage
/// thread. On the event-loop thread; results of the disk come back to it.
#pragma once
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "lease_reads.hpp"
#include "peer_links.hpp"
#include "pending_writes.hpp"
#include "role_changes.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// Connects the raft node to the rest of the controller; see the file's comment.
class RaftDriver {
 public:
  /// The components that the raft node's actions reach.
  struct Components {
    PeerLinks& peers;
    AgentSessions& agents;
    PendingWrites& writes;
    LeaseReads& reads;
    RoleChanges& roles;
  };
  /// @param context must outlive this, like all components.
  RaftDriver(ControllerContext& context, Components components) : context_(context), components_(components) {}
  /// Takes over a storage that has been recovered. To be called once, before `run`.
  void startStorage(const std::shared_ptr<DiskThread>& disk, storage::Storage storage);
  /// Carries out all actions that the raft node has by now, and what follows from a change of roles. To be called after
  /// each event that was passed to the raft node. A nested call does nothing: the outer one goes on with its actions.
  void run();

 private:
  void executeAction(consensus::SendMessage& action);
  void executeAction(consensus::PersistRecord& action);
  void executeAction(consensus::ApplyEntry& action);
  void executeAction(consensus::RestoreSnapshot& action);
  std::int64_t compactionInterval() const;
  void compactIfDue();
  void adoptConfiguration();

  ControllerContext& context_;
  Components components_;
  std::unique_ptr<AsyncStorage> storage_;
  std::int64_t appliedSinceCompaction_ = 0;  // entries
  bool running_ = false;
};
}  // namespace zinccleat::controller
