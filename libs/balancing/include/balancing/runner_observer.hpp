/// @file
/// Outlier detection, the proxy's part: counts successes and failures of attempts at each runner, and responses that
/// are much slower than the same work is at its peers.
///
/// One proxy sees too few attempts to eject a runner by itself. It reports its counts to the leader, which evaluates
/// the reports of all proxies (controller/outliers, docs/notes-outliers.md). Latencies are judged against the service's
/// own latency histogram, never against a configured figure. Pure. Not thread safe.
#pragma once
#include <array>

#include "balancing/latency_baseline.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {

class RunnerObserver {
 public:
  /// Weight of a slow response, where a failure has 1: a queue at the runner explains some of them.
  static constexpr double kSlowWeight = 0.5;

  /// Records that a runner has begun to respond.
  /// @param promptTokens  length of the prompt; 0 for a request without one
  /// @param latency       from the attempt's start to the response's first byte
  /// @param countedSlow   `recordSlow` was called for this attempt already
  /// @return whether the response was not slow.
  bool recordResponse(const std::string& runner, const std::string& service, std::int64_t promptTokens,
                      Duration latency, bool countedSlow = false);
  /// Records that an attempt failed.
  void recordFailure(const std::string& runner) { attempts_[runner].failed += 1; }
  /// Records that an attempt has had no response for longer than `slowThreshold`.
  void recordSlow(const std::string& runner) { attempts_[runner].failed += kSlowWeight; }
  /// The latency from which a response is slow; `Duration::max()` while too few responses are known.
  Duration slowThreshold(const std::string& service, std::int64_t promptTokens) const;
  /// The counts since the last call, of at most `maxRunners` runners: those with most failures, in descending order.
  std::vector<transport::RunnerAttempts> takeReport(std::size_t maxRunners);

 private:
  struct AttemptCounts {
    double succeeded = 0;
    double failed = 0;
  };
  /// Buckets by prompt length in powers of two.
  static constexpr std::size_t kBuckets = 24;
  using LatencyHistogram = std::array<LatencyBaseline, kBuckets>;
  static std::size_t bucketIndex(std::int64_t promptTokens);

  std::unordered_map<std::string, AttemptCounts> attempts_;      ///< by runner
  std::unordered_map<std::string, LatencyHistogram> latencies_;  ///< by service
};
}  // namespace zinccleat::balancing
