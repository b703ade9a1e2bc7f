/// @file
/// Writes that this controller has accepted from a caller and whose outcome is awaited. Each is submitted to the leader
/// again and again until the replica has applied it or its time is up; by its operation id it stays one write.
///
/// The pending writes are changed here only, on the event-loop thread; the calls that wait park their fiber.
#pragma once
#include "controller_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
/// Writes whose outcome is awaited; see the file's comment.
class PendingWrites {
 public:
  /// The ways on which a write leaves this controller.
  struct Submitters {
    std::function<void(const transport::LogEntry&)> submitHere;  ///< this controller leads
    std::function<void(const consensus::MemberId& leader, const transport::LogEntry&)> forwardToLeader;
    std::function<void(const transport::LogEntry&)> sendBodyAhead;
  };
  /// @param context must outlive this.
  PendingWrites(const ControllerContext& context, Submitters submitters)
      : context_(context), submitters_(std::move(submitters)) {}
  /// Parks the calling fiber until its own write is applied here.
  /// @return the write's outcome by the replica (see `ReplicatedState::outcomeOf`), or `ErrorCode::unavailable` if it
  /// was not applied within `timeout`; it may still be applied later.
  Result<state_machine::ReplicatedState::Verdict> write(const transport::LogEntry& entry, Duration timeout);
  /// The replica has applied the write with this id.
  void onApplied(const std::string& operationId);
  /// The replica was restored from a snapshot, which may hold the outcome of any of them.
  void onSnapshotRestored();
  /// All are submitted again, to the new leader.
  void onLeaderChanged();

 private:
  struct PendingWrite {
    runtime::Waiter waiter;
    std::optional<state_machine::ReplicatedState::Verdict> outcome;
  };
  void submit(const transport::LogEntry& entry, bool& bodySentAhead);
  /// The body goes to all controllers at once, and the entry without it to the leader.
  void forwardWithBodyAhead(const consensus::MemberId& leader, const transport::LogEntry& entry) const;
  void forget(const std::string& operationId, const PendingWrite* write);

  const ControllerContext& context_;
  Submitters submitters_;
  std::map<std::string, std::vector<PendingWrite*>> pending_;  // by operation id, on the stacks of waiting fibers
};
}  // namespace zinccleat::controller
