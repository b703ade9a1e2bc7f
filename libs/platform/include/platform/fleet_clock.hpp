/// @file
/// The leader's estimate of the true time: the median of the clocks of the access machines. As long as more than half
/// of the clocks are right, a wrong clock shifts the median by no more than the spread of the right ones.
///
/// Error bound: a sample is late by the transit time of its message. Because of the median this is the transit time of
/// an ordinary message, a few milliseconds. Source for taking the time of the majority: Marzullo and Owicki,
/// "Maintaining the time in a distributed system" (1983).
///
/// The state is not persisted; it belongs to the leader. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
namespace zinccleat::platform {
/// Estimates the true time from the clocks of many machines.
class FleetClock {
 public:
  /// Records the time of day that a machine has reported.
  void record(const std::string& machine, FleetTime timeOfDay, TimePoint now);
  /// The true time, from a new estimate if the last one is too old. @return none until enough machines have reported.
  std::optional<FleetTime> timeAt(TimePoint now);
  /// The true time according to the last estimate, without making a new one.
  std::optional<FleetTime> lastEstimateAt(TimePoint now) const;

 private:
  struct Sample {
    Duration offset{0};  ///< time of day minus steady time
    TimePoint receivedAt{};
  };
  void estimate(TimePoint now);

  std::unordered_map<std::string, Sample> samples_;  // by machine
  TimePoint firstSampleAt_{};
  TimePoint estimatedAt_{};
  std::optional<Duration> offset_;
};
}  // namespace zinccleat::platform
