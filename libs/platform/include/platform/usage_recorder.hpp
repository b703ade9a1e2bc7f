/// @file
/// Counts the requests that runners began for each tenant at one proxy, and sends the counts to the leader.
///
/// Guarantee: a leader that adds each batch once counts each request once. Batches are numbered and sent again until
/// the leader has confirmed them. A new leader gets all batches of windows that are not reported yet. If a proxy
/// process dies, the counts that no leader had received are lost: at most those of one `kBatchInterval` plus one lease
/// renewal interval.
///
/// The state is not persisted. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// Counts the requests at one proxy; see the description at the top of this file.
class UsageRecorder {
 public:
  static constexpr Duration kBatchInterval{1000};

  /// @param windowLength 0: only the time of day is reported, no requests are counted.
  /// @param incarnation random id of this process; not 0.
  UsageRecorder(Duration windowLength, std::int64_t incarnation)
      : windowLength_(windowLength), incarnation_(incarnation) {}
  /// Creates a disabled recorder, which counts and reports nothing.
  UsageRecorder() = default;

  /// Whether this recorder reports anything to the leader.
  bool enabled() const { return incarnation_ != 0; }
  /// Counts a request that a runner began at `began`. Requests without a tenant are not counted.
  void recordRequest(const std::string& tenant, TimePoint began);
  /// Adds the data that the leader does not have yet to a report.
  /// @param timeOfDay this machine's own clock.
  /// @param isLast the proxy is about to exit; the counts since the last batch are sent immediately.
  void fill(transport::PlatformReport& report, FleetTime timeOfDay, TimePoint now, bool isLast);
  /// Processes the leader's answer to a report.
  /// @param requestedAt when the report was sent.
  void accept(const transport::PlatformReportAnswer& answer, TimePoint requestedAt, TimePoint now);
  /// Number of counted requests that were discarded without confirmation by a leader.
  std::uint64_t dropped() const { return dropped_; }

 private:
  bool counts() const { return windowLength_ > Duration(0); }
  std::int64_t windowAt(TimePoint moment);
  void count(const std::string& tenant, TimePoint began);
  void setOffset(Duration offset);
  void closeBatch(TimePoint now);
  void dropReported(std::int64_t reportedThrough);

  Duration windowLength_{0};
  std::int64_t incarnation_ = 0;
  std::optional<Duration> offset_;  // fleet time minus steady time
  bool hasFleetOffset_ = false;     // false: the offset comes from this machine's own clock
  // Tenants and start times of requests that arrived before the offset was known.
  std::vector<std::pair<std::string, TimePoint>> uncountedRequests_;
  TimePoint firstFillAt_{};
  std::int64_t currentWindow_ = 0;
  std::map<std::pair<std::int64_t, std::string>, std::int64_t> openCounts_;  // by window and tenant, not yet in a batch
  std::deque<transport::UsageBatch> batches_;                                // oldest first
  std::int64_t nextNumber_ = 1;
  std::int64_t completeThrough_ = 0;  // the last window that the newest batch declares complete
  std::int64_t received_ = 0;         // number of the last batch that the leader has received
  TimePoint lastBatchAt_{};
  std::uint64_t dropped_ = 0;
};
}  // namespace zinccleat::platform
