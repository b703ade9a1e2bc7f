/// @file
/// The leaseholder of a shard: gathers the calls that reach it into batches for the shard's log, and answers reads and
/// numbers from memory. Pure: events in, batches and results out, the clock passed in. The owner drives it: after each
/// event it proposes what `nextBatch` returns and delivers what `takeResults` returns.
///
/// Guarantees:
/// - A call that ends as `CallStatus::notExecuted` has had no effect and never will.
/// - A batch is applied completely or not at all; its calls are answered only after it was applied.
/// - An answer from memory was right at a moment between the call and the answer: the lease is checked after the
///   evaluation, by a clock read then.
#pragma once
#include "coordination/shard_state.hpp"
namespace zinccleat::coordination {
/// How a call ended for whoever passed it to the leaseholder. The numbers are part of the wire format.
enum class CallStatus : std::int32_t {
  executed = 1,     ///< the outcome stands
  notExecuted = 2,  ///< it has had no effect and never will; another leaseholder may be asked
  unknown = 3,      ///< it was proposed, and whether it is committed is not known here any more
};
/// The end of one call.
struct CallResult {
  std::int64_t callId = 0;
  CallStatus status = CallStatus::notExecuted;
  Outcome outcome;  ///< if executed
};

/// See the file's comment.
class Leaseholder {
 public:
  /// What the owner tells of the shard's lease, by a clock that it reads at each question.
  using HasLease = std::function<bool()>;
  /// @param state the shard's replica on this machine; must outlive this.
  Leaseholder(const ShardState& state, HasLease hasLease) : state_(state), hasLease_(std::move(hasLease)) {}
  /// How long puts are kept for watches.
  void setHistory(Duration history) { history_ = history; }
  /// This member has become the leader of the shard's log.
  void startTerm(TimePoint now);
  /// It leads no longer: what was not proposed is not executed, what was is unknown.
  void endTerm();
  /// A call, with an id of the owner's. Its result comes by `takeResults`, at once or later.
  void call(std::int64_t callId, const Command& command);
  /// Time passes; to be called several times a second.
  void tick(TimePoint now);
  /// The next entry to propose, if there is one and none is in flight; its end comes by `onApplied`.
  /// @param operationId of the entry, unique.
  std::optional<transport::LogEntry> nextBatch(TimePoint now, const std::string& operationId);
  /// The replica has applied an entry.
  void onApplied(const transport::LogEntry& entry, const std::vector<Outcome>& outcomes);
  /// Removes and returns the calls that have ended.
  std::vector<CallResult> takeResults();
  /// Whether `takeResults` has something to return.
  bool hasResults() const { return !results_.empty(); }
  /// Calls that wait for a batch or for its commit.
  std::size_t pendingCalls() const { return queue_.size() + inFlight_.size(); }

 private:
  struct QueuedCall {
    std::int64_t callId = 0;  ///< 0: a reservation of its own
    Command command;
  };
  /// Numbers that were reserved and not given away: from `next` up to and including `last`.
  struct NumberBlock {
    std::int64_t next = 1;
    std::int64_t last = 0;
    bool reserving = false;            ///< another block is on its way
    std::deque<std::int64_t> waiting;  ///< calls
    bool empty() const { return next > last; }
  };
  void finish(std::int64_t callId, Outcome outcome);
  void reject(std::int64_t callId);
  /// Ends a call that was evaluated from memory, if the lease stands behind the outcome.
  void finishUnderLease(std::int64_t callId, Outcome outcome);
  void enqueue(std::int64_t callId, const Command& command);
  void requestNumber(std::int64_t callId, const std::string& name);
  void assignNumbers(const std::string& name, NumberBlock& block);
  void onReserved(const Command& command, const Outcome& outcome);

  const ShardState& state_;
  HasLease hasLease_;
  Duration history_{40'000};
  bool leading_ = false;
  TimePoint timeRecordedUpTo_{};  // up to here the time is in a batch that was proposed in this term
  bool timeEntryIsDue_ = false;
  std::deque<QueuedCall> queue_;
  std::string inFlightId_;  // empty: no batch is in flight
  std::vector<QueuedCall> inFlight_;
  std::map<std::string, NumberBlock> numbers_;
  std::vector<CallResult> results_;
};
}  // namespace zinccleat::coordination
