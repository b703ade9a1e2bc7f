/// @file
/// For how long a replica has lacked what is known to be committed. Pure: the present time is passed in.
///
/// Differs from the time since the last progress (`LogFollower::stalledFor`): a replica that applies one entry after
/// another and is never done lags all the same, and what it decides about is that old.
#pragma once
#include <deque>

#include "runtime/common.hpp"
namespace zinccleat::agent {
/// The lag of one replica behind the committed log.
class ReplicaLag {
 public:
  /// Records that the log was committed up to `committed` at `at`. Indexes that do not rise are ignored.
  void recordCommitted(TimePoint at, std::int64_t committed);
  /// Records that the replica has applied all entries up to `applied`.
  void recordApplied(std::int64_t applied);
  /// Since when the oldest entry that is missing has been known to be committed; none: nothing is known to be missing.
  std::optional<TimePoint> since() const;
  /// How long the oldest entry that is missing has been known to be committed; 0: nothing is known to be missing.
  Duration at(TimePoint now) const;

 private:
  struct CommitObservation {
    std::int64_t index = 0;
    TimePoint observedAt{};
  };
  std::deque<CommitObservation> missing_;  // of rising index, none of them applied
  std::int64_t applied_ = 0;
};
}  // namespace zinccleat::agent
