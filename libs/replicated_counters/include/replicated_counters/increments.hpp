/// @file
/// What replicated counters are made of. The lists of fields are the wire and disk format: a field keeps its position
/// and its type.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::replicated_counters {
/// Who accepted an increment first: one incarnation of a controller's process. Drawn at random at each start and never
/// used again, so a disk that was lost or went back in time can't give one sequence number to two increments.
using OriginId = std::int64_t;

/// One addition to a counter, as its caller sent it.
struct Increment {
  std::string counter;
  std::string instanceId;   ///< names the increment: however often and wherever it arrives, it counts once
  std::int64_t amount = 0;  ///< may be below zero
  template <class V>
  void fields(V& v) {
    v("counter", counter), v("instanceId", instanceId), v("amount", amount);
  }
  bool operator==(const Increment&) const = default;
};
/// Increments that one origin accepted, in order and without a gap.
struct IncrementRange {
  OriginId origin = 0;
  std::int64_t firstSequence = 1;  ///< of the first of them; an origin counts its increments from 1
  std::vector<Increment> increments;
  std::int64_t lastSequence() const { return firstSequence + static_cast<std::int64_t>(increments.size()) - 1; }
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("firstSequence", firstSequence), v("increments", increments);
  }
};
/// How far a replica has come with the increments of one origin: it has all up to `sequence`.
struct OriginProgress {
  OriginId origin = 0;
  std::int64_t sequence = 0;
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("sequence", sequence);
  }
  bool operator==(const OriginProgress&) const = default;
};
/// The amount that a counter has from increments whose ids are no longer kept.
struct FoldedAmount {
  std::string counter;
  std::int64_t amount = 0;
  template <class V>
  void fields(V& v) {
    v("counter", counter), v("amount", amount);
  }
};
/// The increments of one origin whose ids are no longer kept, added up.
struct FoldedOrigin {
  OriginId origin = 0;
  std::int64_t throughSequence = 0;  ///< they are those up to this one
  std::vector<FoldedAmount> amounts;
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("throughSequence", throughSequence), v("amounts", amounts);
  }
};
/// What a disk record or a message brings: to be merged, first the folded origins, then the ranges.
struct IncrementBatch {
  std::vector<FoldedOrigin> folded;
  /// Ids that are counted among the folded increments and that other increments, which are still kept, repeat.
  std::vector<std::string> foldedIds;
  std::vector<IncrementRange> ranges;
  template <class V>
  void fields(V& v) {
    v("folded", folded), v("foldedIds", foldedIds), v("ranges", ranges);
  }
  bool empty() const { return folded.empty() && ranges.empty(); }
};
/// Sequences above this are malformed: no origin comes near it.
constexpr std::int64_t kMaxSequence = std::int64_t{1} << 53;
/// Whether all numbers are within what any replica can have. What is not must not be merged.
bool isWellFormed(const IncrementBatch& batch);
bool isWellFormed(const std::vector<OriginProgress>& progress);
}  // namespace zinccleat::replicated_counters
