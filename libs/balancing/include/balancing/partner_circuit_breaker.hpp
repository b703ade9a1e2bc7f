/// @file
/// Circuit breaker and rate limit for requests that are forwarded to the partner site.
///
/// At most one in four of the requests that qualify is forwarded. Each failure opens the circuit for a time that
/// doubles with every further failure (exponential backoff); a success resets it. Pure: the time is passed in.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::balancing {

class PartnerCircuitBreaker {
 public:
  /// Tokens of shared prompt prefix from which a cached prefix at the partner outweighs the longer way.
  static constexpr std::int64_t kMinSharedTokens = 2000;

  /// Whether a request that qualifies may be forwarded. Call once for each: it counts towards the limit.
  bool allowRequest(TimePoint now);
  /// A forwarded request was answered.
  void recordSuccess() { consecutiveFailures_ = 0; }
  /// A forwarded request was rejected, late or cut off.
  void recordFailure(TimePoint now);

 private:
  double qualifiedRequests_ = 0;
  double forwardedRequests_ = 0;
  int consecutiveFailures_ = 0;
  TimePoint openUntil_{};
};
}  // namespace zinccleat::balancing
