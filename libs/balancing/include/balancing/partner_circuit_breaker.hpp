/// @file
/// Circuit breaker and rate limit for requests that are forwarded to the partner site.
///
/// At most one in four of the qualifying requests is forwarded. Each failure opens the circuit for a time that doubles
/// with every further consecutive failure (exponential backoff); a success resets the backoff. Deterministic: callers
/// pass in the time.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

class PartnerCircuitBreaker {
 public:
  /// Minimum length of a shared prompt prefix, in tokens, at which reusing the partner's cached prefix saves more time
  /// than the longer network path costs.
  static constexpr std::int64_t kMinSharedTokens = 2000;

  /// Whether a qualifying request may be forwarded. Call this exactly once for each request, because each call counts
  /// towards the ratio of forwarded requests.
  bool allowRequest(TimePoint now);
  /// Records that the partner answered a forwarded request.
  void recordSuccess() { consecutiveFailures_ = 0; }
  /// Records that a forwarded request was rejected, answered too late or cut off.
  void recordFailure(TimePoint now);

 private:
  double qualifiedRequests_ = 0;
  double forwardedRequests_ = 0;
  int consecutiveFailures_ = 0;
  TimePoint openUntil_{};
};
}  // namespace zinccleat::balancing
