/// @file
/// The state of replicated counters: a grow-only set of increments, merged by union. A version vector describes what a
/// replica has: for each origin the sequence of the last increment. Pure, deterministic, not thread-safe.
///
/// Guarantees:
/// - Replicas that have merged the same increments return the same totals, regardless of the order and number of
///   merges.
/// - Increments with the same `instanceId` are counted once. If they differ, the one with the lowest origin and
///   sequence is counted.
/// - Folding (see `fold`) changes no total.
#pragma once
#include "replicated_counters/increments.hpp"
namespace zinccleat::replicated_counters {
/// The increments of all counters. The guarantees are listed at the top of this file.
class CounterState {
 public:
  /// The position of an increment, ordered by origin and then by sequence.
  struct Position {
    OriginId origin = 0;
    std::int64_t sequence = 0;
    bool operator==(const Position&) const = default;
    bool operator<(const Position& other) const {
      return origin != other.origin ? origin < other.origin : sequence < other.sequence;
    }
  };

  /// The highest sequence for which all increments of the origin up to it are present; 0 if there are none.
  std::int64_t sequenceOf(OriginId origin) const;
  /// Appends the next increment of an origin.
  void append(OriginId origin, const Increment& increment);
  /// Merges a batch from a disk record or a message. Increments that are already present are skipped, as are ranges
  /// that would leave a gap.
  /// @return the new part of the batch, which must be persisted.
  IncrementBatch merge(const IncrementBatch& batch);
  /// The position of the increment with this id that is counted; none if there is no such increment or its id is no
  /// longer kept.
  std::optional<Position> find(const std::string& instanceId) const;
  /// The total of a counter, 0 for an unknown one. A sum beyond the limits of the result type is clamped to them.
  std::int64_t total(const std::string& counter) const;
  /// The last sequence of each origin.
  std::vector<OriginProgress> progress() const;
  /// The increments that follow `after` for each of the listed origins: about `maxBytes` in all, but at least one
  /// increment.
  IncrementBatch batchAfter(const std::vector<OriginProgress>& after, std::size_t maxBytes) const;
  /// The whole state as one batch, for a snapshot.
  IncrementBatch snapshot() const;
  /// Adds the increments of an origin up to a sequence to its folded amounts and discards their ids. The caller ensures
  /// that none of these ids arrives again.
  void fold(OriginId origin, std::int64_t throughSequence);
  /// Number of increments whose ids are kept.
  std::size_t retainedIncrements() const { return retainedIncrements_; }
  /// Approximate memory that the kept increments use, in bytes.
  std::size_t keptBytes() const { return keptBytes_; }

 private:
  /// A sum of amounts, which may exceed 64 bits.
  __extension__ using Sum = __int128;
  /// The increments of one origin.
  struct OriginLog {
    std::int64_t foldedThrough = 0;
    std::map<std::string, Sum> foldedAmounts;  // by counter
    std::deque<Increment> increments;          // sequences from `foldedThrough` + 1 on
  };
  /// All occurrences of one increment id.
  struct KnownId {
    std::vector<Position> positions;  // positions of the increments with this id that are kept, ascending
    bool isFolded = false;            // an increment with this id is part of the folded amounts
  };
  std::int64_t newestSequenceOf(const OriginLog& log) const;
  const Increment& at(const Position& position) const;
  void addToTotal(const Increment& increment, int times);
  void addPosition(const Increment& increment, const Position& position);
  /// Removes one kept increment from the index. @return whether this increment was the one counted for its id.
  bool removePosition(const Increment& increment, const Position& position);
  bool mergeFolded(const FoldedOrigin& folded);
  void mergeFoldedIds(const std::vector<std::string>& ids);
  std::optional<IncrementRange> mergeRange(const IncrementRange& range);

  std::map<OriginId, OriginLog> origins_;
  std::unordered_map<std::string, KnownId> ids_;
  std::unordered_map<std::string, Sum> totals_;
  std::size_t retainedIncrements_ = 0;
  std::size_t keptBytes_ = 0;
};
}  // namespace zinccleat::replicated_counters
