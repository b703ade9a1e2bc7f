/// @file
/// Counts, at one proxy, the requests that runners began for each tenant, and hands the counts to the leader.
///
/// Guarantee: a leader that adds up each batch once counts each request once. Batches are numbered and sent again until
/// the leader has them; a new leader gets all batches with windows that are not reported yet. A proxy that dies takes
/// with it what no leader had: the time since its last batch, `kBatchInterval` and one renewal of its lease.
///
/// Soft state of the proxy. Pure: the steady time is passed in.
#pragma once
#include "platform/usage_window.hpp"
#include "transport/platform_records.hpp"
namespace zinccleat::platform {
/// See the file's comment.
class UsageRecorder {
 public:
  static constexpr Duration kBatchInterval{1000};

  /// @param windowLength 0: nothing is counted, only the time of day is told.
  /// @param incarnation drawn at each start; not 0.
  UsageRecorder(Duration windowLength, std::int64_t incarnation)
      : windowLength_(windowLength), incarnation_(incarnation) {}
  /// One that counts and tells nothing.
  UsageRecorder() = default;

  /// Whether the leader is told anything for the platform's functions.
  bool enabled() const { return incarnation_ != 0; }
  /// A runner began a request of a tenant. Without a tenant nothing is counted.
  void recordRequest(const std::string& tenant, TimePoint began);
  /// Fills in what the leader lacks.
  /// @param timeOfDay this machine's own clock.
  /// @param isLast the proxy is about to end: what was counted since the last batch goes at once.
  void fill(transport::PlatformReport& report, FleetTime timeOfDay, TimePoint now, bool isLast);
  /// Takes over the leader's answer.
  /// @param requestedAt when the report was sent.
  void accept(const transport::PlatformReportAnswer& answer, TimePoint requestedAt, TimePoint now);
  /// Requests that were counted and are not kept any more although no leader is known to have them.
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
  std::optional<Duration> offset_;                                    // fleet time less steady time
  bool hasFleetOffset_ = false;                                       // else by this machine's own clock
  std::vector<std::pair<std::string, TimePoint>> uncountedRequests_;  // tenants and begins, until there is an offset
  TimePoint firstFillAt_{};
  std::int64_t currentWindow_ = 0;
  std::map<std::pair<std::int64_t, std::string>, std::int64_t> openCounts_;  // by window and tenant, not in a batch yet
  std::deque<transport::UsageBatch> batches_;                                // the oldest first
  std::int64_t nextNumber_ = 1;
  std::int64_t completeThrough_ = 0;  // by the newest batch
  std::int64_t received_ = 0;         // by the leader
  TimePoint lastBatchAt_{};
  std::uint64_t dropped_ = 0;
};
}  // namespace zinccleat::platform
