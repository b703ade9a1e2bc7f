/// @file
/// Linearizable reads by read index (Ongaro's thesis on Raft, section 6.4). A follower asks the leader, which answers
/// under a valid lease how far the log is committed, and reads its own replica once it has applied that much. A leader
/// with a valid lease reads its replica at once.
///
/// The pending reads are changed here only, on the event-loop thread; the calls that wait park their fiber.
#pragma once
#include "controller_context.hpp"
#include "runtime/event_loop.hpp"
namespace zinccleat::controller {
/// Reads that wait for their read index; see the file's comment.
class LeaseReads {
 public:
  using SendRequest = std::function<void(const consensus::MemberId& leader, std::int64_t requestId)>;
  /// @param sendRequest sends the leader a read-index request.
  LeaseReads(const ControllerContext& context, SendRequest sendRequest)
      : context_(context), sendRequest_(std::move(sendRequest)) {}
  /// Parks the calling fiber until the replica is as new as the leader's log was when this was called.
  /// @return `ErrorCode::unavailable` if that took longer than `timeout`.
  Result<void> awaitReadIndex(Duration timeout);
  /// A response that comes too late for its request is dropped.
  /// @param underLease false: `commitIndex` says nothing.
  void onResponse(std::int64_t requestId, bool underLease, std::int64_t commitIndex);
  /// The replica has applied an entry or a snapshot.
  void onApplied();

 private:
  struct PendingRead {
    runtime::Waiter waiter;
    std::optional<std::int64_t> readIndex;  ///< to be applied here; none: not answered yet
  };
  bool isDone(const PendingRead& read) const;
  /// Sends one request and waits for its answer. @return whether the read may go on.
  bool attempt(TimePoint until);

  const ControllerContext& context_;
  SendRequest sendRequest_;
  std::map<std::int64_t, PendingRead*> pending_;  // by request, on the stacks of the fibers that wait
  std::int64_t lastRequestId_ = 0;
};
}  // namespace zinccleat::controller
