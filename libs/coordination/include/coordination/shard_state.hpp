/// @file
/// The replicated state of one shard of the coordination service: locks, reserved numbers, cells and their history. A
/// pure state machine: equal batches in equal order give equal states on every replica.
///
/// Guarantees:
/// - A fence is above all fences that the shard has granted before, to whomever.
/// - A hold lasts at least as long as was promised, counted from any moment before its command was proposed: the
///   shard's time (`timeMs`) is the sum of `CommandBatch::elapsedMs` and never runs faster than a true clock.
/// - Numbers are reserved once.
/// - Revisions of a group rise by one for each put, from 1. A put that comes again gets its first revision, for at
///   least `CommandBatch::historyMs` and for as long as its cell has the value.
/// - The history of a group holds each put of at least the last `CommandBatch::historyMs` of the shard's time.
#pragma once
#include "coordination/commands.hpp"
#include "transport/messages.hpp"
namespace zinccleat::coordination {
/// One put, as watches see it.
struct CellEvent {
  std::string cell;
  std::string value;
  std::int64_t revision = 0;
  std::int64_t atMs = 0;  ///< the shard's time
  template <class V>
  void fields(V& v) {
    v("cell", cell), v("value", value), v("revision", revision), v("atMs", atMs);
  }
};
/// What a watch of a group finds.
struct WatchedEvents {
  bool discarded = false;         ///< puts above the revision asked for are no longer in the history
  std::vector<CellEvent> events;  ///< with rising revisions
  std::int64_t revision = 0;      ///< the events hold all puts up to this one
};

/// What the state may hold; a command that would need more ends with `OutcomeKind::limitReached`. With names and values
/// of the greatest length a snapshot stays under 24 MiB, which one frame between members can carry.
struct StateLimits {
  std::size_t names = 16'384;        ///< locks, numbers and cells, each
  std::size_t cellBytes = 8U << 20;  ///< names and values of cells and of the history
};

/// The state of one shard; see the file's comment.
class ShardState {
 public:
  ShardState() = default;
  explicit ShardState(StateLimits limits) : limits_(limits) {}
  /// Applies the next entry of the shard's log. An entry that is no batch changes the index only.
  /// @return the outcomes of its commands in their order.
  std::vector<Outcome> apply(const transport::LogEntry& entry);
  /// The state as a text, for snapshots.
  std::string snapshot() const;
  /// Replaces the state by a snapshot's.
  /// @return `ErrorCode::corruption` for a text that is no snapshot; the state is then as it was.
  Result<void> restore(const std::string& snapshot);

  /// The index of the newest entry applied.
  std::int64_t index() const { return index_; }
  /// The shard's own time in ms.
  std::int64_t timeMs() const { return timeMs_; }
  /// The fence of a lock that is taken; 0: it is free.
  std::int64_t fenceOf(const std::string& lock) const;
  bool hasLocks() const { return !locks_.empty(); }
  std::size_t lockCount() const { return locks_.size(); }
  std::size_t cellCount() const { return cellCount_; }
  /// A `getCell`.
  Outcome readCell(const std::string& cell) const;
  /// The revision of a group's newest put; 0: none yet.
  std::int64_t revisionOf(const std::string& group) const;
  /// The puts of a group above a revision, the oldest first.
  /// @param maxBytes of names and values; at least one event is returned if there is one.
  WatchedEvents eventsAfter(const std::string& group, std::int64_t revision, std::size_t maxBytes) const;
  /// The groups in which the entry applied last has put something.
  const std::vector<std::string>& changedGroups() const { return changedGroups_; }

 private:
  struct Lock {
    std::string holder;
    std::int64_t fence = 0;
    std::int64_t endsAtMs = 0;  ///< the shard's time; free from then on
  };
  struct Cell {
    std::string value;
    std::int64_t revision = 0;
    std::deque<std::int64_t> revisions;  ///< of its puts that are in the history, rising
  };
  struct Group {
    std::int64_t revision = 0;       ///< of the newest put
    std::int64_t discardedUpTo = 0;  ///< puts up to here are no longer in the history
    std::map<std::string, Cell, std::less<>> cells;
    std::deque<CellEvent> history;  ///< revisions without a gap, the newest one last

    const CellEvent& eventAt(std::int64_t eventRevision) const {
      return history[static_cast<std::size_t>(eventRevision - history.front().revision)];
    }
  };
  struct Contents;  // the snapshot's format

  Outcome execute(const Command& command);
  Outcome acquireLock(const Command& command);
  Outcome renewLock(const Command& command);
  Outcome releaseLock(const Command& command);
  Outcome reserveNumbers(const Command& command);
  Outcome putCell(const Command& command);
  void store(Group& group, const Command& put);
  /// The revision that an earlier copy of a put has got.
  static std::optional<std::int64_t> revisionOfRepeatedPut(const Group& group, const Cell& cell,
                                                           const std::string& value);
  /// The lock, unless it is free.
  const Lock* findActiveLock(const std::string& name) const;
  std::int64_t lockExpiryMs(std::int64_t holdMs) const;
  void discardExpiredLocks();
  void discardHistory(std::int64_t historyMs);

  StateLimits limits_;
  std::int64_t index_ = 0;
  std::int64_t timeMs_ = 0;
  std::int64_t lastFence_ = 0;
  std::int64_t nextSweepMs_ = 0;  // of locks that have ended and of the history
  std::map<std::string, Lock> locks_;
  std::map<std::string, std::int64_t> numbers_;  // name -> reserved up to
  std::map<std::string, Group, std::less<>> groups_;
  std::size_t cellCount_ = 0;
  std::size_t cellBytes_ = 0;
  std::vector<std::string> changedGroups_;
};
}  // namespace zinccleat::coordination
