/// @file
/// Executes the actions that the Raft node requests: sends messages, makes records durable, applies committed entries
/// and snapshots to the replica, and compacts the log.
///
/// This is the only writer of the replica and of the parsed configuration in `ControllerContext`, and the owner of the
/// Raft node's storage. Runs on the event-loop thread, to which disk results are posted.
#pragma once
#include "agent_sessions.hpp"
#include "controller_context.hpp"
#include "lease_reads.hpp"
#include "peer_links.hpp"
#include "pending_writes.hpp"
#include "role_changes.hpp"
#include "storage_thread.hpp"
namespace zinccleat::controller {
/// Connects the Raft node to the rest of the controller; see the file comment.
class RaftDriver {
 public:
  /// The components that the actions of the Raft node affect.
  struct Components {
    PeerLinks& peers;
    AgentSessions& agents;
    PendingWrites& writes;
    LeaseReads& reads;
    RoleChanges& roles;
  };
  /// @param context must outlive this object, as must all components.
  RaftDriver(ControllerContext& context, Components components) : context_(context), components_(components) {}
  /// Takes ownership of a storage that has been recovered. Must be called once, before `run`.
  void startStorage(const std::shared_ptr<DiskThread>& disk, storage::Storage storage);
  /// Executes all pending actions of the Raft node and the consequences of a change of role. Must be called after each
  /// event passed to the Raft node. A nested call does nothing: the outer call continues with the new actions.
  void run();

 private:
  void executeAction(consensus::SendMessage& action);
  void executeAction(consensus::PersistRecord& action);
  void executeAction(consensus::ApplyEntry& action);
  void executeAction(consensus::RestoreSnapshot& action);
  std::int64_t compactionInterval() const;
  void compactIfDue();
  bool isCompactionDue() const;
  void adoptConfiguration();

  ControllerContext& context_;
  Components components_;
  std::unique_ptr<AsyncStorage> storage_;
  std::int64_t appliedSinceCompaction_ = 0;  // number of entries
  std::size_t bytesSinceCompaction_ = 0;     // total size of the bodies of these entries
  bool running_ = false;
};
}  // namespace zinccleat::controller
