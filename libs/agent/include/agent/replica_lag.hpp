/// @file
/// Measures for how long a replica has lacked entries that are known to be committed. Pure: the current time is passed
/// in.
///
/// The lag differs from the time since the last progress (`LogFollower::stalledFor`): a replica that constantly applies
/// entries but never catches up makes progress and still lags, and decisions based on it use state of that age.
#pragma once
#include <deque>

#include "runtime/common.hpp"
namespace zinccleat::agent {
/// The lag of one replica behind the committed log.
class ReplicaLag {
 public:
  /// Records that at time `at` the log was committed up to index `committed`. Calls without a higher index are ignored.
  void recordCommitted(TimePoint at, std::int64_t committed);
  /// Records that the replica has applied all entries up to `applied`.
  void recordApplied(std::int64_t applied);
  /// Returns since when the oldest missing entry has been known to be committed; none if no entry is known to be
  /// missing.
  std::optional<TimePoint> since() const;
  /// Returns how long the oldest missing entry has been known to be committed; 0 if no entry is known to be missing.
  Duration at(TimePoint now) const;

 private:
  struct CommitObservation {
    std::int64_t index = 0;
    TimePoint observedAt{};
  };
  std::deque<CommitObservation> observations_;  // indexes that are not yet applied, in ascending order
  std::int64_t applied_ = 0;
};
}  // namespace zinccleat::agent
