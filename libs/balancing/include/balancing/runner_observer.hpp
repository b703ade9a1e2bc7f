/// @file
/// The proxy's part of outlier detection: counts successful and failed attempts for each runner, and responses that are
/// much slower than comparable responses of the service's other runners.
///
/// One proxy sees too few attempts to eject a runner by itself. It reports its counts to the leader, which evaluates
/// the reports of all proxies (controller/outliers, docs/notes-outliers.md). A latency counts as slow in comparison
/// with the service's observed latencies; no threshold is configured. No I/O. Not thread safe.
#pragma once
#include <array>

#include "balancing/latency_baseline.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {

class RunnerObserver {
 public:
  /// Weight of a slow response; a failure has weight 1. The weight is lower because a queue at a healthy runner also
  /// causes slow responses.
  static constexpr double kSlowWeight = 0.5;

  /// Records that a runner has begun to respond.
  /// @param promptTokens  length of the prompt; 0 for a request without a prompt
  /// @param latency       time from the start of the attempt to the first byte of the response
  /// @param countedSlow   whether `recordSlow` was already called for this attempt
  /// @return true if the response was not slow.
  bool recordResponse(const std::string& runner, const std::string& service, std::int64_t promptTokens,
                      Duration latency, bool countedSlow = false);
  /// Records that an attempt failed.
  void recordFailure(const std::string& runner) { attempts_[runner].failed += 1; }
  /// Records that a runner has not responded to an attempt within `slowThreshold`.
  void recordSlow(const std::string& runner) { attempts_[runner].failed += kSlowWeight; }
  /// The latency above which a response is slow; `Duration::max()` until enough responses have been recorded.
  Duration slowThreshold(const std::string& service, std::int64_t promptTokens) const;
  /// Returns the counts since the last call and resets them. Contains at most `maxRunners` runners, in descending order
  /// of failures.
  std::vector<transport::RunnerAttempts> takeReport(std::size_t maxRunners);

 private:
  struct AttemptCounts {
    double succeeded = 0;
    double failed = 0;
  };
  /// Number of latency buckets. Each bucket covers prompt lengths up to the next power of two.
  static constexpr std::size_t kBuckets = 24;
  using LatencyHistogram = std::array<LatencyBaseline, kBuckets>;
  static std::size_t bucketIndex(std::int64_t promptTokens);

  std::unordered_map<std::string, AttemptCounts> attempts_;      ///< by runner id
  std::unordered_map<std::string, LatencyHistogram> latencies_;  ///< by service label
};
}  // namespace zinccleat::balancing
