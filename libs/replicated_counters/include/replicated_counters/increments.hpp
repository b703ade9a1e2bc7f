/// @file
/// The data types of replicated counters. The field lists define the wire and disk format: the position and type of a
/// field must not change.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::replicated_counters {
/// Identifies the process incarnation of a controller that first accepted an increment. The id is drawn at random at
/// each start and never reused, so a disk that was lost or restored to an older state cannot lead to two increments
/// with the same sequence number.
using OriginId = std::int64_t;

/// One addition to a counter, as sent by its caller.
struct Increment {
  std::string counter;
  std::string instanceId;   ///< idempotency key: an increment is counted once, no matter how often and where it arrives
  std::int64_t amount = 0;  ///< may be negative
  template <class V>
  void fields(V& v) {
    v("counter", counter), v("instanceId", instanceId), v("amount", amount);
  }
  bool operator==(const Increment&) const = default;
};
/// A contiguous range of increments accepted by one origin.
struct IncrementRange {
  OriginId origin = 0;
  std::int64_t firstSequence = 1;  ///< sequence of the first increment; each origin numbers its increments from 1
  std::vector<Increment> increments;
  std::int64_t lastSequence() const { return firstSequence + static_cast<std::int64_t>(increments.size()) - 1; }
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("firstSequence", firstSequence), v("increments", increments);
  }
};
/// A replica's progress for one origin: it has all increments up to `sequence`.
struct OriginProgress {
  OriginId origin = 0;
  std::int64_t sequence = 0;
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("sequence", sequence);
  }
  bool operator==(const OriginProgress&) const = default;
};
/// A counter's total amount from increments whose ids are no longer kept.
struct FoldedAmount {
  std::string counter;
  std::int64_t amount = 0;
  template <class V>
  void fields(V& v) {
    v("counter", counter), v("amount", amount);
  }
};
/// The sum of the increments of one origin whose ids are no longer kept.
struct FoldedOrigin {
  OriginId origin = 0;
  std::int64_t throughSequence = 0;  ///< sequence of the last increment included in the sum
  std::vector<FoldedAmount> amounts;
  template <class V>
  void fields(V& v) {
    v("origin", origin), v("throughSequence", throughSequence), v("amounts", amounts);
  }
};
/// The content of a disk record or transfer. The folded origins are merged before the ranges.
struct IncrementBatch {
  std::vector<FoldedOrigin> folded;
  /// Ids that are part of the folded amounts and also occur among increments that are still kept.
  std::vector<std::string> foldedIds;
  std::vector<IncrementRange> ranges;
  template <class V>
  void fields(V& v) {
    v("folded", folded), v("foldedIds", foldedIds), v("ranges", ranges);
  }
  bool empty() const { return folded.empty() && ranges.empty(); }
};
/// Larger sequences are malformed; no origin reaches this number.
constexpr std::int64_t kMaxSequence = std::int64_t{1} << 53;
/// Whether all numbers are within the valid range. Malformed data must not be merged.
bool isWellFormed(const IncrementBatch& batch);
bool isWellFormed(const std::vector<OriginProgress>& progress);
}  // namespace zinccleat::replicated_counters
