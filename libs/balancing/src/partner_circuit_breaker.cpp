#include "balancing/partner_circuit_breaker.hpp"

namespace zinccleat::balancing {
namespace {
constexpr double kMaxForwardedRatio = 0.25;
constexpr double kInitialAllowance = 2;      // requests that may be forwarded in addition to the ratio
constexpr double kMaxCountedRequests = 400;  // when exceeded, both counts are halved, which discounts older requests
constexpr auto kBaseBackoff = 500ms;
constexpr int kMaxDoublings = 6;
}  // namespace

bool PartnerCircuitBreaker::allowRequest(TimePoint now) {
  if (qualifiedRequests_ > kMaxCountedRequests) {
    qualifiedRequests_ /= 2;
    forwardedRequests_ /= 2;
  }
  ++qualifiedRequests_;
  const bool open = now < openUntil_;
  if (open || forwardedRequests_ + 1 > qualifiedRequests_ * kMaxForwardedRatio + kInitialAllowance)
    return false;
  ++forwardedRequests_;
  return true;
}

void PartnerCircuitBreaker::recordFailure(TimePoint now) {
  consecutiveFailures_ = std::min(consecutiveFailures_ + 1, kMaxDoublings);
  openUntil_ = now + kBaseBackoff * (1 << consecutiveFailures_);
}
}  // namespace zinccleat::balancing
