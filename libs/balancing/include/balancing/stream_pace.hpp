/// @file
/// How fast the events of streams follow each other, by service. Pure: the time is passed in.
#pragma once
#include "balancing/latency_baseline.hpp"
namespace zinccleat::balancing {
/// The pace of one stream.
class StreamPace {
 public:
  /// Bytes of the stream have arrived; complete events are counted.
  void recordBytes(std::string_view bytes, TimePoint now);
  /// Milliseconds for ten events; none if fewer than three have arrived.
  std::optional<double> msPerTenEvents() const;
  /// Complete events after the first arrival.
  int eventsAfterFirst() const { return completeEvents_; }

 private:
  int completeEvents_ = 0;  ///< after the first arrival
  bool endsInLineFeed_ = false;
  std::optional<TimePoint> firstArrival_;
  TimePoint newestArrival_{};
};

/// The usual paces.
class StreamPaceBaselines {
 public:
  /// A stream has ended.
  /// @return whether it was far slower than usual.
  bool recordStream(const std::string& service, const StreamPace& pace);
  /// Whether a stream that goes on is far slower than usual.
  bool isSlowWhileOpen(const std::string& service, const StreamPace& pace) const;

 private:
  std::unordered_map<std::string, LatencyBaseline> baselines_;  ///< by service
};
}  // namespace zinccleat::balancing
