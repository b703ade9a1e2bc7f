/// @file
/// The leaseholder of a shard. It collects incoming calls into batches for the shard's log, and answers reads and
/// number requests from memory. Pure state machine: it takes events, returns batches and results, and is passed the
/// clock. After each event the owner proposes the entry returned by `nextBatch` and delivers the results returned by
/// `takeResults`.
///
/// Guarantees:
/// - A call that ends with `CallStatus::notExecuted` has had no effect and never will.
/// - A batch is applied completely or not at all. Its calls are answered only after it has been applied.
/// - An answer from memory was correct at some moment between the call and the answer: the lease is checked after the
///   evaluation, against a clock that is read at that time.
#pragma once
#include "coordination/shard_state.hpp"
namespace zinccleat::coordination {
/// The final status of a call that was passed to the leaseholder. The numeric values are part of the wire format.
enum class CallStatus : std::int32_t {
  executed = 1,     ///< the call was executed; see its outcome
  notExecuted = 2,  ///< the call has had no effect and never will; another leaseholder may be tried
  unknown = 3,      ///< the call was proposed, and this leaseholder can no longer tell whether it is committed
};
/// The result of one call.
struct CallResult {
  std::int64_t callId = 0;
  CallStatus status = CallStatus::notExecuted;
  Outcome outcome;  ///< valid only for `CallStatus::executed`
};

/// The leaseholder of a shard. The guarantees are listed at the top of this file.
class Leaseholder {
 public:
  /// Returns whether this member has the shard's lease, by a clock that is read on each call.
  using HasLease = std::function<bool()>;
  /// @param state the local replica of the shard; must outlive this object.
  Leaseholder(const ShardState& state, HasLease hasLease) : state_(state), hasLease_(std::move(hasLease)) {}
  /// Sets how long puts are kept for watches.
  void setHistory(Duration history) { history_ = history; }
  /// This member has become the leader of the shard's log.
  void startTerm(TimePoint now);
  /// This member is no longer the leader. Calls that were not proposed end as not executed, proposed ones as unknown.
  void endTerm();
  /// Accepts a call with an id chosen by the owner. Its result is returned by `takeResults`, immediately or later.
  void call(std::int64_t callId, const Command& command);
  /// Updates the time; to be called several times a second.
  void tick(TimePoint now);
  /// The next entry to propose; none if nothing is due or an entry is in flight. `onApplied` reports when the entry has
  /// been applied.
  /// @param operationId unique id of the entry.
  std::optional<transport::LogEntry> nextBatch(TimePoint now, const std::string& operationId);
  /// The replica has applied an entry.
  void onApplied(const transport::LogEntry& entry, const std::vector<Outcome>& outcomes);
  /// Removes and returns the results of finished calls.
  std::vector<CallResult> takeResults();
  /// Whether there are results for `takeResults`.
  bool hasResults() const { return !results_.empty(); }
  /// Number of calls that wait for a batch or for the commit of their batch.
  std::size_t pendingCalls() const { return queue_.size() + inFlight_.size(); }

 private:
  struct QueuedCall {
    std::int64_t callId = 0;  ///< 0: a reservation of numbers by the leaseholder itself
    Command command;
  };
  /// Reserved numbers that have not been assigned yet: from `next` through `last`.
  struct NumberBlock {
    std::int64_t next = 1;
    std::int64_t last = 0;
    bool reserving = false;            ///< a reservation of another block is in progress
    std::deque<std::int64_t> waiting;  ///< ids of the calls that wait for a number
    bool empty() const { return next > last; }
  };
  void finish(std::int64_t callId, Outcome outcome);
  void reject(std::int64_t callId);
  /// Ends a call that was evaluated from memory: with the outcome if the lease is still valid, as not executed
  /// otherwise.
  void finishIfLeaseHolds(std::int64_t callId, Outcome outcome);
  void enqueue(std::int64_t callId, const Command& command);
  void requestNumber(std::int64_t callId, const std::string& name);
  void assignNumbers(const std::string& name, NumberBlock& block);
  void onReserved(const Command& command, const Outcome& outcome);

  const ShardState& state_;
  HasLease hasLease_;
  Duration history_{40'000};
  bool leading_ = false;
  TimePoint timeRecordedUpTo_{};  // batches proposed in this term account for the time up to here
  bool timeEntryIsDue_ = false;
  std::deque<QueuedCall> queue_;
  std::string inFlightId_;  // empty: no batch is in flight
  std::vector<QueuedCall> inFlight_;
  std::map<std::string, NumberBlock> numbers_;
  std::vector<CallResult> results_;
};
}  // namespace zinccleat::coordination
