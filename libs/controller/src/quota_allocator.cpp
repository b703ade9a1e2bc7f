#include "quota_allocator.hpp"

#include <cmath>

namespace zinccleat::controller {
namespace {
// A local reserve that was not reported for this long has been used or lost by its access machine.
constexpr auto kReserveLifetime = 4s;
// After a change of leader: the time until each local reserve has been reported to the new leader or has expired.
constexpr auto kUnknownReservesPeriod = 4500ms;
// Division of the allowed excess and slack. One fraction of the excess goes into the refill rate. Another fraction,
// together with `kSlackInCapacity` of the slack, goes into the capacity, which limits the tokens in the bucket and in
// all local reserves together.
constexpr double kExcessInRate = 0.3;
constexpr double kExcessInCapacity = 0.5;
constexpr double kSlackInCapacity = 0.7;
constexpr double kSlackAtStart = 0.2;    // fraction of the slack that a bucket holds at the start of a term
constexpr double kBucketFraction = 0.4;  // fraction of the capacity that the bucket may always hold
// Fraction of the capacity up to which a local reserve is filled, counting the reserves of other holders.
constexpr double kReservesFraction = 0.6;
constexpr double kMinRetrySeconds = 0.05;
constexpr double kRoundingError = 1e-9;

const transport::QuotaHolding* findHolding(const std::vector<transport::QuotaHolding>& holdings,
                                           const std::string& tenant) {
  const auto it = std::find_if(holdings.begin(), holdings.end(),
                               [&tenant](const auto& holding) { return holding.tenant == tenant; });
  return it == holdings.end() ? nullptr : &*it;
}
}  // namespace

void QuotaAllocator::startTerm(TimePoint now) {
  buckets_.clear();
  termStartedAt_ = now;
}
const config::Subscriber* QuotaAllocator::findSubscriber(const config::Configuration& configuration,
                                                         const std::string& tenant) {
  if (indexedConfiguration_ != &configuration || indexedVersion_ != configuration.version) {
    subscriberIndex_.clear();
    for (std::size_t i = 0; i < configuration.subscribers.size(); ++i)
      subscriberIndex_[configuration.subscribers[i].label] = i;
    indexedConfiguration_ = &configuration;
    indexedVersion_ = configuration.version;
  }
  const auto it = subscriberIndex_.find(tenant);
  return it == subscriberIndex_.end() ? nullptr : &configuration.subscribers[it->second];
}
QuotaAllocator::BucketLimits QuotaAllocator::limitsOf(const config::Subscriber& subscriber) const {
  const double tokensPerS = subscriber.ratePerS * (1 + bounds_.excess * kExcessInRate);
  const double capacity = subscriber.burstSize * (1 + bounds_.excess) +
                          subscriber.ratePerS * bounds_.windowS * bounds_.excess * kExcessInCapacity +
                          bounds_.slack * kSlackInCapacity;
  return {tokensPerS, capacity};
}
QuotaAllocator::TokenBucket& QuotaAllocator::bucketOf(const std::string& tenant) {
  auto& bucket = buckets_[tenant];
  if (bucket.refilledAt == TimePoint{}) {
    bucket.refilledAt = termStartedAt_;
    bucket.tokens = bounds_.slack * kSlackAtStart;
  }
  return bucket;
}
std::vector<transport::QuotaGrant> QuotaAllocator::allocate(TimePoint now, const std::string& holder,
                                                            const std::vector<transport::QuotaDemand>& demand,
                                                            const std::vector<transport::QuotaHolding>& holdings,
                                                            const config::Configuration* configuration) {
  std::vector<transport::QuotaGrant> grants;
  if (!configuration)
    return grants;
  for (const auto& wanted : demand) {
    const auto* subscriber = findSubscriber(*configuration, wanted.tenant);
    if (subscriber && subscriber->ratePerS > 0)
      grants.push_back(allocateOne(now, holder, wanted, findHolding(holdings, wanted.tenant), *subscriber));
  }
  return grants;
}
double QuotaAllocator::reservedByOthers(TokenBucket& bucket, const std::string& holder, TimePoint now) {
  std::erase_if(bucket.reserves,
                [now](const auto& reserve) { return now - reserve.second.reportedAt > kReserveLifetime; });
  double tokens = 0;
  for (const auto& [other, reserve] : bucket.reserves)
    if (other != holder)
      tokens += reserve.tokens;
  return tokens;
}
void QuotaAllocator::refill(TokenBucket& bucket, const BucketLimits& limits, double unreserved, TimePoint now) const {
  const double baseLimit = limits.capacity * kBucketFraction;
  // The limit is lower after a change of leader, because access machines may hold reserves that were not reported yet.
  const bool reservesUnknown = now - termStartedAt_ < kUnknownReservesPeriod;
  const double bucketLimit = reservesUnknown ? baseLimit : std::max(baseLimit, unreserved);
  const double elapsedS = std::chrono::duration<double>(now - bucket.refilledAt).count();
  bucket.tokens = std::min(bucketLimit, bucket.tokens + elapsedS * limits.tokensPerS);
  bucket.refilledAt = now;
}
transport::QuotaGrant QuotaAllocator::allocateOne(TimePoint now, const std::string& holder,
                                                  const transport::QuotaDemand& demand,
                                                  const transport::QuotaHolding* holding,
                                                  const config::Subscriber& subscriber) {
  auto& bucket = bucketOf(demand.tenant);
  const auto limits = limitsOf(subscriber);
  const double ownTokens = holding ? holding->tokens : 0;
  double otherTokens = reservedByOthers(bucket, holder, now);
  const bool hasReserve = demand.requestsPerS > 0 || holding;
  if (hasReserve)
    bucket.reserves[holder] = {ownTokens, now};
  else if (const auto it = bucket.reserves.find(holder); it != bucket.reserves.end())
    otherTokens += it->second.tokens;
  refill(bucket, limits, limits.capacity - otherTokens - ownTokens, now);

  // Waiting requests are served first, then the local reserve as far as the capacity allows.
  const double waiting = std::max(0.0, demand.waitingRequests);
  const double forWaiting = std::min(std::floor(bucket.tokens + kRoundingError), waiting);
  bucket.tokens -= forWaiting;
  double forReserve = 0;
  if (demand.requestsPerS > 0) {
    const double available = std::max(0.0, limits.capacity * kReservesFraction - otherTokens);
    const double wanted = std::min(demand.requestsPerS * kReserveSeconds + 1, available);
    forReserve = std::min(bucket.tokens, std::max(0.0, wanted - ownTokens));
    bucket.tokens -= forReserve;
    bucket.reserves[holder].tokens = ownTokens + forReserve;
  }
  // A client that retries after this time must find a token, so the time includes the tokens for requests that still
  // wait.
  const double missing = 1 - bucket.tokens + 2 * (waiting - forWaiting);
  return {demand.tenant, forWaiting + forReserve, std::max(kMinRetrySeconds, missing / limits.tokensPerS)};
}
}  // namespace zinccleat::controller
