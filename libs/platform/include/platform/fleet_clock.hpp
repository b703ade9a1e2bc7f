/// @file
/// True time as the leader knows it: the median of what the clocks of the access machines say. A clock that was stepped
/// moves the median by no more than the spread of the others, as long as more than half are right.
///
/// Bound: a sample is late by the way of its message, which the median takes from an ordinary message, some
/// milliseconds. Source: Marzullo and Owicki, "Maintaining the time in a distributed system" (1983), for the majority's
/// time.
///
/// Soft state of the leader. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
namespace zinccleat::platform {
/// See the file's comment.
class FleetClock {
 public:
  /// A machine has said what its time of day is.
  void record(const std::string& machine, FleetTime timeOfDay, TimePoint now);
  /// @return none while too few machines have been heard.
  std::optional<FleetTime> timeAt(TimePoint now);
  /// The same by the newest estimate, without a new one.
  std::optional<FleetTime> lastEstimateAt(TimePoint now) const;

 private:
  struct Sample {
    Duration offset{0};  ///< time of day less steady time
    TimePoint receivedAt{};
  };
  void estimate(TimePoint now);

  std::unordered_map<std::string, Sample> samples_;  // by machine
  TimePoint firstSampleAt_{};
  TimePoint estimatedAt_{};
  std::optional<Duration> offset_;
};
}  // namespace zinccleat::platform
