/// @file
/// Writes that this controller has accepted from callers and whose outcome is pending. Each write is resubmitted to the
/// leader until the replica has applied it or its time is over. Its operation id ensures that it takes effect only
/// once.
///
/// Pending writes are changed only here, on the event-loop thread; waiting calls suspend their fiber.
#pragma once
#include "controller_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
/// Writes whose outcome is pending; see the file comment.
class PendingWrites {
 public:
  /// Functions that submit a write or send its body.
  struct Submitters {
    std::function<void(const transport::LogEntry&)> submitHere;  ///< used if this controller is the leader
    std::function<void(const consensus::MemberId& leader, const transport::LogEntry&)> forwardToLeader;
    std::function<void(const transport::LogEntry&)> sendBodyAhead;
  };
  /// @param context must outlive this object.
  PendingWrites(const ControllerContext& context, Submitters submitters)
      : context_(context), submitters_(std::move(submitters)) {}
  /// Submits a write and suspends the calling fiber until this replica has applied it.
  /// @return the outcome of the write in the replica (see `ReplicatedState::outcomeOf`), or `ErrorCode::unavailable` if
  /// the write was not applied within `timeout`; it may still be applied later.
  Result<state_machine::ReplicatedState::Verdict> write(const transport::LogEntry& entry, Duration timeout);
  /// Called after the replica has applied the write with this id.
  void onApplied(const std::string& operationId);
  /// Called after the replica was restored from a snapshot, which may contain the outcome of any pending write.
  void onSnapshotRestored();
  /// Called when the leader changes. All pending writes are submitted to the new leader.
  void onLeaderChanged();

 private:
  struct PendingWrite {
    runtime::Waiter waiter;
    std::optional<state_machine::ReplicatedState::Verdict> outcome;
  };
  void submit(const transport::LogEntry& entry, bool& bodySentAhead);
  /// Sends the body to all controllers first, then the entry without its body to the leader.
  void forwardWithBodyAhead(const consensus::MemberId& leader, const transport::LogEntry& entry) const;
  void forget(const std::string& operationId, const PendingWrite* write);

  const ControllerContext& context_;
  Submitters submitters_;
  // Keyed by operation id; the objects are on the stacks of the waiting fibers.
  std::map<std::string, std::vector<PendingWrite*>> pending_;
};
}  // namespace zinccleat::controller
