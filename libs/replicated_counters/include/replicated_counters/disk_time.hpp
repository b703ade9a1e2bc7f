/// @file
/// Measures the write time of a replica's disk as observed by another replica or by the replica itself: the time from
/// handing over an increment until it is reported durable. Pure: the clock is passed in. Not thread-safe.
#pragma once
#include <deque>

#include "runtime/common.hpp"
namespace zinccleat::replicated_counters {
/// The measured write time of one disk. A disk without measurements is assumed to be fast.
class DiskTime {
 public:
  /// An increment was handed over for writing. Sequences must be ascending.
  void begin(TimePoint now, std::int64_t sequence);
  /// All increments up to this sequence are durable.
  void end(TimePoint now, std::int64_t sequence);
  /// The expected time for the next increment: the smoothed recent write time or the age of the oldest pending write,
  /// whichever is larger; 0 before the first measurement.
  Duration expected(TimePoint now) const;
  /// Whether no increment was handed over for `interval`, so that the measured time may be out of date.
  bool isOutdated(TimePoint now, Duration interval) const { return now - lastBeginAt_ >= interval; }

 private:
  struct PendingWrite {
    std::int64_t sequence = 0;
    TimePoint since;
  };
  std::deque<PendingWrite> pendingWrites_;  // oldest first; limited to the oldest `kMaxPendingWrites`
  Duration smoothedTime_{0};
  TimePoint lastBeginAt_{};
};
}  // namespace zinccleat::replicated_counters
