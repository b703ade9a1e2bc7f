/// @file
/// The replicated state of one shard of the coordination service: locks, reserved numbers, cells and their history. It
/// is a deterministic state machine: replicas that apply the same batches in the same order have the same state.
///
/// Guarantees:
/// - A new fence is higher than all fences that the shard has granted before, for any lock and holder.
/// - A lock is kept for at least the requested duration, counted from any moment before its command was proposed. The
///   shard's time (`timeMs`) is the sum of all `CommandBatch::elapsedMs` and never runs faster than real time.
/// - No number is reserved twice.
/// - The revisions of a group start at 1 and increase by one with each put. A repeated put returns the revision of the
///   first one, for at least `CommandBatch::historyMs` and for as long as the cell has its value.
/// - The history of a group contains every put of at least the last `CommandBatch::historyMs` of the shard's time.
#pragma once
#include "coordination/commands.hpp"
#include "transport/messages.hpp"
namespace zinccleat::coordination {
/// One put, as reported to watches.
struct CellEvent {
  std::string cell;
  std::string value;
  std::int64_t revision = 0;
  std::int64_t atMs = 0;  ///< in the shard's time
  template <class V>
  void fields(V& v) {
    v("cell", cell), v("value", value), v("revision", revision), v("atMs", atMs);
  }
};
/// The result of a watch on a group.
struct WatchedEvents {
  bool discarded = false;         ///< the history no longer contains all puts above the requested revision
  std::vector<CellEvent> events;  ///< ascending by revision
  std::int64_t revision = 0;      ///< the events include all puts up to this revision
};

/// Limits on the size of the state. A command that would exceed them ends with `OutcomeKind::limitReached`. Even with
/// names and values of maximum length a snapshot stays below 24 MiB and fits into one frame between members.
struct StateLimits {
  std::size_t names = 16'384;        ///< maximum number of locks, of numbers and of cells (each)
  std::size_t cellBytes = 8U << 20;  ///< total size of the names and values in cells and in the history
};

/// The state of one shard. The guarantees are listed at the top of this file.
class ShardState {
 public:
  ShardState() = default;
  explicit ShardState(StateLimits limits) : limits_(limits) {}
  /// Applies the next entry of the shard's log. An entry that is not a batch only advances the index.
  /// @return the outcomes of its commands, in order.
  std::vector<Outcome> apply(const transport::LogEntry& entry);
  /// Serializes the state for a snapshot.
  std::string snapshot() const;
  /// Replaces the state with the state from a snapshot.
  /// @return `ErrorCode::corruption` if the snapshot is invalid; the state is then unchanged.
  Result<void> restore(const std::string& snapshot);

  /// Log index of the last applied entry.
  std::int64_t index() const { return index_; }
  /// The shard's own time in ms.
  std::int64_t timeMs() const { return timeMs_; }
  /// The fence of a lock, or 0 if the lock is free.
  std::int64_t fenceOf(const std::string& lock) const;
  bool hasLocks() const { return !locks_.empty(); }
  std::size_t lockCount() const { return locks_.size(); }
  std::size_t cellCount() const { return cellCount_; }
  /// Executes a `getCell` command.
  Outcome readCell(const std::string& cell) const;
  /// The revision of the latest put in a group, or 0 if there was none.
  std::int64_t revisionOf(const std::string& group) const;
  /// The puts of a group above a revision, oldest first.
  /// @param maxBytes limit on the total size of names and values; at least one event is returned if there is one.
  WatchedEvents eventsAfter(const std::string& group, std::int64_t revision, std::size_t maxBytes) const;
  /// The groups that the last applied entry has changed.
  const std::vector<std::string>& changedGroups() const { return changedGroups_; }

 private:
  struct Lock {
    std::string holder;
    std::int64_t fence = 0;
    std::int64_t endsAtMs = 0;  ///< in the shard's time; the lock is free from then on
  };
  struct Cell {
    std::string value;
    std::int64_t revision = 0;
    std::deque<std::int64_t> revisions;  ///< revisions of this cell's puts that are in the history, ascending
  };
  struct Group {
    std::int64_t revision = 0;       ///< revision of the latest put
    std::int64_t discardedUpTo = 0;  ///< puts up to this revision are no longer in the history
    std::map<std::string, Cell, std::less<>> cells;
    std::deque<CellEvent> history;  ///< contiguous revisions, oldest first

    const CellEvent& eventAt(std::int64_t eventRevision) const {
      return history[static_cast<std::size_t>(eventRevision - history.front().revision)];
    }
  };
  struct Contents;  // serialization format of a snapshot

  Outcome execute(const Command& command);
  Outcome acquireLock(const Command& command);
  Outcome renewLock(const Command& command);
  Outcome releaseLock(const Command& command);
  Outcome reserveNumbers(const Command& command);
  Outcome putCell(const Command& command);
  void store(Group& group, const Command& put);
  /// The revision of an earlier put of the same value, if that put is still known.
  static std::optional<std::int64_t> revisionOfRepeatedPut(const Group& group, const Cell& cell,
                                                           const std::string& value);
  /// The lock if it has a holder, otherwise null.
  const Lock* findActiveLock(const std::string& name) const;
  std::int64_t lockExpiryMs(std::int64_t holdMs) const;
  void discardExpiredLocks();
  void discardHistory(std::int64_t historyMs);

  StateLimits limits_;
  std::int64_t index_ = 0;
  std::int64_t timeMs_ = 0;
  std::int64_t lastFence_ = 0;
  std::int64_t nextSweepMs_ = 0;  // when to discard expired locks and old history next
  std::map<std::string, Lock> locks_;
  std::map<std::string, std::int64_t> numbers_;  // name -> last reserved number
  std::map<std::string, Group, std::less<>> groups_;
  std::size_t cellCount_ = 0;
  std::size_t cellBytes_ = 0;
  std::vector<std::string> changedGroups_;
};
}  // namespace zinccleat::coordination
