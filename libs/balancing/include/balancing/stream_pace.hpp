/// @file
/// Measures the rate of events in streams and compares it with the rate that is typical of the service. Deterministic:
/// callers pass in the time.
#pragma once
#include "balancing/latency_baseline.hpp"
namespace zinccleat::balancing {
/// The time between the events of one stream.
class StreamPace {
 public:
  /// Records bytes of the stream as they arrive and counts the complete events in them.
  void recordBytes(std::string_view bytes, TimePoint now);
  /// The mean time for ten events in milliseconds; none until two events have followed the first bytes.
  std::optional<double> msPerTenEvents() const;
  /// The number of events that were completed after the first bytes arrived.
  int eventsAfterFirst() const { return completeEvents_; }

 private:
  int completeEvents_ = 0;  ///< events completed after `firstArrival_`
  bool endsInLineFeed_ = false;
  std::optional<TimePoint> firstArrival_;
  TimePoint newestArrival_{};
};

/// The typical time between events, for each service.
class StreamPaceBaselines {
 public:
  /// Adds the pace of a stream that has ended to the baseline of its service.
  /// @return whether the stream was far slower than the baseline.
  bool recordStream(const std::string& service, const StreamPace& pace);
  /// Whether a stream that has not ended yet is far slower than the baseline of its service.
  bool isSlowWhileOpen(const std::string& service, const StreamPace& pace) const;

 private:
  std::unordered_map<std::string, LatencyBaseline> baselines_;  ///< by service label
};
}  // namespace zinccleat::balancing
