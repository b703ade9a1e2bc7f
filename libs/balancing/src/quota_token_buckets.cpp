#include "balancing/quota_token_buckets.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kMinRefillInterval = 60ms;
constexpr auto kRateInterval = 300ms;
constexpr double kMaxRateIntervalS = 5;
constexpr double kFastSmoothing = 0.3;       // weight of the newest interval in `requestsPerS`
constexpr double kSlowSmoothing = 0.05;      // weight of the newest interval in `steadyRequestsPerS`
constexpr double kSteadyRequestsPerS = 0.7;  // at a lower rate most tokens of a reserve would expire unused
constexpr double kIdleRequestsPerS = 0.005;
constexpr double kRefillThresholdS = 0.25;  // a reserve that lasts for less than this time is refilled early
constexpr auto kResponsiveInterval = 400ms;
constexpr auto kRecentGrantWindow = 700ms;
constexpr double kRetryAfterWithoutGrantS = 0.5;
constexpr double kMinRetryAfterS = 0.1;
constexpr double kMaxRetryAfterS = 1.0;
constexpr double kUnknownTenantWaitS = 0.05;
constexpr double kMsPerS = 1000;

Duration fromSeconds(double seconds) {
  return Duration(static_cast<std::int64_t>(seconds * kMsPerS));
}
}  // namespace

bool QuotaTokenBuckets::TokenBucket::isSteady() const {
  return steadyRequestsPerS >= kSteadyRequestsPerS;
}
bool QuotaTokenBuckets::TokenBucket::isIdle(TimePoint now) const {
  return steadyRequestsPerS < kIdleRequestsPerS && pendingTokenRequests == 0 && reserveExpired(now) &&
         now - immediateGrantedAt > kReserveLifetime;
}

void QuotaTokenBuckets::refillReserve(const std::vector<transport::QuotaGrant>& grants, TimePoint requestedAt) {
  for (const auto& grant : grants) {
    auto& bucket = buckets_[grant.tenant];
    // The lifetime starts when the proxy sent the request. The leader counts it from its answer, which is later, so a
    // token expires here before the leader regards it as expired.
    if (bucket.reserveExpired(requestedAt))
      bucket.reserve = 0;
    bucket.reserve += grant.tokens;
    bucket.secondsUntilMore = grant.secondsUntilMore;
    bucket.reserveRequestedAt = requestedAt;
    bucket.lastGrantAt = std::max(bucket.lastGrantAt, requestedAt);
  }
}

void QuotaTokenBuckets::addImmediateTokens(const std::vector<transport::QuotaGrant>& grants, TimePoint now) {
  lastImmediateGrantAt_ = now;
  for (const auto& grant : grants) {
    auto& bucket = buckets_[grant.tenant];
    if (bucket.immediateExpired(now))
      bucket.immediate = 0;
    bucket.immediate += grant.tokens;
    bucket.immediateGrantedAt = now;
    bucket.lastGrantAt = now;
    bucket.secondsUntilMore = grant.secondsUntilMore;
  }
}

bool QuotaTokenBuckets::tryAcquire(const std::string& tenant, TimePoint now) {
  ++buckets_[tenant].requestsSinceUpdate;
  return retryAcquire(tenant, now);
}

bool QuotaTokenBuckets::retryAcquire(const std::string& tenant, TimePoint now) {
  auto& bucket = buckets_[tenant];
  if (bucket.immediateExpired(now))
    bucket.immediate = 0;
  if (bucket.reserveExpired(now))
    bucket.reserve = 0;
  // Immediate tokens are spent first because they expire sooner than the reserve.
  auto& source = bucket.immediate >= 1 ? bucket.immediate : bucket.reserve;
  if (source < 1)
    return false;
  source -= 1;
  return true;
}

bool QuotaTokenBuckets::shouldRefill(const std::string& tenant, TimePoint now) {
  const auto& bucket = buckets_[tenant];
  if (!bucket.isSteady())
    return false;
  if (bucket.reserve >= 1 + bucket.requestsPerS * kRefillThresholdS && !bucket.reserveExpired(now))
    return false;
  if (now - lastRefillRequestAt_ < kMinRefillInterval)
    return false;
  lastRefillRequestAt_ = now;
  return true;
}

void QuotaTokenBuckets::cancelTokenRequest(const std::string& tenant) {
  auto& bucket = buckets_[tenant];
  if (bucket.pendingTokenRequests > 0)
    --bucket.pendingTokenRequests;
}

std::vector<transport::QuotaDemand> QuotaTokenBuckets::takeTokenRequests() {
  std::vector<transport::QuotaDemand> requests;
  for (auto& [tenant, bucket] : buckets_)
    if (bucket.pendingTokenRequests > 0)
      requests.push_back({tenant, 0, static_cast<double>(std::exchange(bucket.pendingTokenRequests, 0))});
  return requests;
}

bool QuotaTokenBuckets::leaderResponsive(TimePoint now) const {
  return now - lastImmediateGrantAt_ < kResponsiveInterval;
}

Duration QuotaTokenBuckets::retryAfter(const std::string& tenant, TimePoint now) const {
  const auto it = buckets_.find(tenant);
  // Without a recent grant the leader is probably unreachable. A longer delay then costs the client less than a second
  // rejection.
  const bool grantedRecently = it != buckets_.end() && now - it->second.lastGrantAt < kRecentGrantWindow;
  const double seconds = grantedRecently ? it->second.secondsUntilMore : kRetryAfterWithoutGrantS;
  return fromSeconds(std::clamp(seconds, kMinRetryAfterS, kMaxRetryAfterS));
}

Duration QuotaTokenBuckets::timeToNextToken(const std::string& tenant) const {
  const auto it = buckets_.find(tenant);
  return fromSeconds(it == buckets_.end() ? kUnknownTenantWaitS : it->second.secondsUntilMore);
}

void QuotaTokenBuckets::updateRates(TimePoint now) {
  const auto elapsed = now - ratesUpdatedAt_;
  if (elapsed < kRateInterval)
    return;
  const double seconds = std::min(kMaxRateIntervalS, std::chrono::duration<double>(elapsed).count());
  for (auto& [tenant, bucket] : buckets_) {
    const double rate = bucket.requestsSinceUpdate / seconds;
    bucket.requestsPerS = bucket.requestsPerS * (1 - kFastSmoothing) + rate * kFastSmoothing;
    bucket.steadyRequestsPerS = bucket.steadyRequestsPerS * (1 - kSlowSmoothing) + rate * kSlowSmoothing;
    bucket.requestsSinceUpdate = 0;
  }
  std::erase_if(buckets_, [&](const auto& entry) { return entry.second.isIdle(now); });
  ratesUpdatedAt_ = now;
}

std::vector<transport::QuotaDemand> QuotaTokenBuckets::steadyDemand(TimePoint now) {
  updateRates(now);
  std::vector<transport::QuotaDemand> demand;
  for (const auto& [tenant, bucket] : buckets_)
    if (bucket.isSteady())
      demand.push_back({tenant, bucket.requestsPerS, 0});
  return demand;
}

std::vector<transport::QuotaHolding> QuotaTokenBuckets::reserveHoldings(TimePoint now) const {
  std::vector<transport::QuotaHolding> holdings;
  for (const auto& [tenant, bucket] : buckets_)
    if (bucket.isSteady() && !bucket.reserveExpired(now) && bucket.reserve > 0)
      holdings.push_back({tenant, bucket.reserve, 0});
  return holdings;
}
}  // namespace zinccleat::balancing
