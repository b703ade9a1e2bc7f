/// @file
/// Linearizable reads by read index (Ongaro's thesis on Raft, section 6.4). A follower asks the leader for its commit
/// index. The leader answers under a valid lease, and the follower reads its own replica once it has applied the log up
/// to that index. A leader with a valid lease reads its replica at once.
///
/// Pending reads are changed only here, on the event-loop thread; waiting calls suspend their fiber.
#pragma once
#include "controller_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
/// Reads that wait for their read index; see the file comment.
class LeaseReads {
 public:
  using SendRequest = std::function<void(const consensus::MemberId& leader, std::int64_t requestId)>;
  /// @param sendRequest sends a read-index request to the leader.
  LeaseReads(const ControllerContext& context, SendRequest sendRequest)
      : context_(context), sendRequest_(std::move(sendRequest)) {}
  /// Suspends the calling fiber until the replica is as new as the leader's log was at the time of the call.
  /// @return `ErrorCode::unavailable` if that took longer than `timeout`.
  Result<void> awaitReadIndex(Duration timeout);
  /// Handles the leader's response. A response without a pending request is dropped.
  /// @param underLease if false, the responder held no lease and `commitIndex` is meaningless.
  void onResponse(std::int64_t requestId, bool underLease, std::int64_t commitIndex);
  /// Called after the replica has applied an entry or a snapshot.
  void onApplied();

 private:
  struct PendingRead {
    runtime::Waiter waiter;
    std::optional<std::int64_t> readIndex;  ///< index that this replica must have applied; none: no answer yet
  };
  bool isDone(const PendingRead& read) const;
  /// Sends one request and waits for its answer.
  /// @return whether the replica may be read now.
  bool attempt(TimePoint until);

  const ControllerContext& context_;
  SendRequest sendRequest_;
  // Keyed by request id; the objects are on the stacks of the waiting fibers.
  std::map<std::int64_t, PendingRead*> pending_;
  std::int64_t lastRequestId_ = 0;
};
}  // namespace zinccleat::controller
