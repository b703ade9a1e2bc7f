#include "balancing/retry_budget.hpp"

#include <numeric>

namespace zinccleat::balancing {
RetryBudget::TokenBucket& RetryBudget::bucketAt(const std::string& service, TimePoint now) {
  auto& bucket = buckets_[service];
  const auto currentSlot = now.time_since_epoch() / std::chrono::duration_cast<Clock::duration>(slotLength_);
  bucket.newestSlot = std::max(bucket.newestSlot, currentSlot - kSlots);
  for (; bucket.newestSlot < currentSlot; ++bucket.newestSlot) {
    // The oldest slot expires. Its unspent tokens are added to the reserve, up to the reserve limit.
    auto& expired = bucket.earnedIn(bucket.newestSlot + 1);
    bucket.reserve = std::min(std::max(bucket.reserve, reserveLimit_), bucket.reserve + expired);
    expired = 0;
  }
  bucket.reserve = std::min(bucket.reserve, reserveLimit_);
  return bucket;
}

void RetryBudget::recordRequest(const std::string& service, TimePoint now) {
  auto& bucket = bucketAt(service, now);
  bucket.earnedIn(bucket.newestSlot) += retryRatio_;
}

bool RetryBudget::tryWithdraw(const std::string& service, TimePoint now) {
  auto& bucket = bucketAt(service, now);
  if (std::accumulate(bucket.earned.begin(), bucket.earned.end(), bucket.reserve) < 1)
    return false;
  double remaining = 1;
  // Tokens of older slots are spent first because they expire sooner; the reserve is spent last.
  for (int i = 1; i <= kSlots && remaining > 0; ++i) {
    auto& earned = bucket.earnedIn(bucket.newestSlot + i);
    const double spent = std::min(earned, remaining);
    earned -= spent;
    remaining -= spent;
  }
  bucket.reserve -= remaining;
  return true;
}

void RetryBudget::setReserve(double limit, double draw) {
  if (limit >= 1)
    reserveLimit_ = limit;
  else
    reserveLimit_ = draw < limit ? 1 : 0;
}
}  // namespace zinccleat::balancing
