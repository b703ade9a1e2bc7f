/// @file
/// The state of replicated counters: a set of increments that only grows, merged by union. A replica's copy is known by
/// how far it has come with each origin (a version vector). Pure, deterministic, not thread-safe.
///
/// Guarantees:
/// - Replicas that have merged the same increments, in any order and however often, answer the same totals.
/// - Increments with one `instanceId` addToTotal once. If they differ, the one of the lowest origin and sequence
/// counts.
/// - Folding (see `fold`) changes no total.
#pragma once
#include "replicated_counters/increments.hpp"
namespace zinccleat::replicated_counters {
/// The increments of all counters; see the file's comment.
class CounterState {
 public:
  /// Where an increment stands. Ordered by origin, then sequence.
  struct Position {
    OriginId origin = 0;
    std::int64_t sequence = 0;
    bool operator==(const Position&) const = default;
    bool operator<(const Position& other) const {
      return origin != other.origin ? origin < other.origin : sequence < other.sequence;
    }
  };

  /// The newest sequence up to which all increments of an origin are here; 0: none.
  std::int64_t sequenceOf(OriginId origin) const;
  /// Appends an origin's next increment.
  void append(OriginId origin, const Increment& increment);
  /// Merges what a disk record or a message brings: what is here already is skipped, and so is what would leave a gap.
  /// @return what was new, to be persisted.
  IncrementBatch merge(const IncrementBatch& batch);
  /// Where the increment with this id stands that counts; none: it is not here, or its id is no longer kept.
  std::optional<Position> find(const std::string& instanceId) const;
  /// The counter's total, 0 for one that is new; at the limits of its type where the sum is beyond them.
  std::int64_t total(const std::string& counter) const;
  /// How far this replica has come, by origin.
  std::vector<OriginProgress> progress() const;
  /// What follows `after` in each of its origins, in about so many bytes at most, but at least one increment.
  IncrementBatch batchAfter(const std::vector<OriginProgress>& after, std::size_t maxBytes) const;
  /// Everything, for a snapshot.
  IncrementBatch snapshot() const;
  /// Adds the increments of an origin up to a sequence up and forgets their ids. The owner makes sure that none of
  /// these ids arrives again.
  void fold(OriginId origin, std::int64_t throughSequence);
  /// Increments whose ids are kept.
  std::size_t retainedIncrements() const { return retainedIncrements_; }
  /// Bytes of memory that the kept increments take, about.
  std::size_t keptBytes() const { return keptBytes_; }

 private:
  /// A total, which may pass the limits of 64 bits.
  __extension__ using Sum = __int128;
  /// The increments of one origin.
  struct OriginLog {
    std::int64_t foldedThrough = 0;
    std::map<std::string, Sum> foldedAmounts;  // by counter
    std::deque<Increment> increments;          // from `foldedThrough` + 1 on
  };
  /// The increments with one id.
  struct KnownId {
    std::vector<Position> positions;  // of those that are kept, in order
    bool isFolded = false;            // it is counted among the folded ones
  };
  std::int64_t newestSequenceOf(const OriginLog& log) const;
  const Increment& at(const Position& position) const;
  void addToTotal(const Increment& increment, int times);
  void addPosition(const Increment& increment, const Position& position);
  /// Takes one kept increment out of the index. @return whether it was the one that counts.
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
