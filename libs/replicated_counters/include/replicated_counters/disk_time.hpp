/// @file
/// How long a replica's disk takes to have an increment, as another replica (or itself) sees it: from when the
/// increment was handed over until it was reported durable. Pure, the clock passed in. Not thread-safe.
#pragma once
#include <deque>

#include "runtime/common.hpp"
namespace zinccleat::replicated_counters {
/// The measured time of one disk. Before the first measurement it counts as fast.
class DiskTime {
 public:
  /// An increment was handed over. Sequences rise.
  void begin(TimePoint now, std::int64_t sequence);
  /// All increments up to this sequence are durable.
  void end(TimePoint now, std::int64_t sequence);
  /// What the next increment may take: the smoothed time of the newest ones, or the age of the oldest that is still
  /// under way if that is larger; 0 before the first.
  Duration expected(TimePoint now) const;
  /// Whether nothing was handed over for `interval`: the measured time may be out of date.
  bool isOutdated(TimePoint now, Duration interval) const { return now - lastBeginAt_ >= interval; }

 private:
  struct PendingWrite {
    std::int64_t sequence = 0;
    TimePoint since;
  };
  std::deque<PendingWrite> pendingWrites_;  // oldest first; the oldest ones, if there are many
  Duration smoothedTime_{0};
  TimePoint lastBeginAt_{};
};
}  // namespace zinccleat::replicated_counters
