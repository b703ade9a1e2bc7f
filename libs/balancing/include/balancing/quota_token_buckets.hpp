/// @file
/// The quota tokens that this proxy holds for the tenants. The leader grants them from each tenant's token bucket; one
/// token pays for one request.
///
/// There are two kinds of tokens. The *local reserve* serves tenants that send steadily through this proxy. It is
/// refilled with each lease renewal and lasts through a change of leader. *Immediate tokens* are requested for requests
/// that are waiting at the moment. Both kinds expire, so a proxy that has stopped or was partitioned cannot spend old
/// tokens later. A tenant that sends nothing through this proxy uses no memory and no traffic here. See
/// docs/notes-quota.md for the bound over all proxies. Deterministic: callers pass in the time. Not thread safe.
#pragma once
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {

class QuotaTokenBuckets {
 public:
  /// A local reserve expires if it has not been refilled for this long.
  static constexpr Duration kReserveLifetime{3000};
  /// Immediate tokens expire this long after the grant: by then the requests that they were granted for have ended.
  static constexpr Duration kImmediateTokenLifetime{100};

  /// Adds granted tokens to the local reserve.
  /// @param requestedAt  when `steadyDemand` and `reserveHoldings` were sent; the lifetime of the tokens starts then
  void refillReserve(const std::vector<transport::QuotaGrant>& grants, TimePoint requestedAt);
  /// Adds tokens that were granted for waiting requests.
  void addImmediateTokens(const std::vector<transport::QuotaGrant>& grants, TimePoint now);

  /// Takes a token for a new request and counts the request towards the tenant's demand.
  bool tryAcquire(const std::string& tenant, TimePoint now);
  /// Takes a token for a request that `tryAcquire` refused before; the request is not counted again.
  bool retryAcquire(const std::string& tenant, TimePoint now);
  /// Whether the reserve of a steady tenant should be refilled now instead of at the next lease renewal.
  bool shouldRefill(const std::string& tenant, TimePoint now);

  /// Queues a request for one token on behalf of a waiting request. Call this again if the request is still waiting
  /// after the leader has answered.
  void requestToken(const std::string& tenant) { ++buckets_[tenant].pendingTokenRequests; }
  /// Withdraws one queued token request because the waiting request has given up.
  void cancelTokenRequest(const std::string& tenant);
  /// Returns the token requests that have not been sent yet, by tenant, and marks them as sent.
  std::vector<transport::QuotaDemand> takeTokenRequests();

  /// Whether the leader has answered token requests recently, so that a request may wait for the next answer.
  bool leaderResponsive(TimePoint now) const;
  /// The delay after which a rejected client should retry.
  Duration retryAfter(const std::string& tenant, TimePoint now) const;
  /// The time until the leader expects to have another token of the tenant.
  Duration timeToNextToken(const std::string& tenant) const;

  /// The smoothed demand of the steady tenants. Also removes tenants without recent requests.
  std::vector<transport::QuotaDemand> steadyDemand(TimePoint now);
  /// The tokens in the reserves of the steady tenants.
  std::vector<transport::QuotaHolding> reserveHoldings(TimePoint now) const;
  /// The number of tenants that have a token bucket here.
  std::size_t size() const { return buckets_.size(); }

 private:
  struct TokenBucket {
    double reserve = 0;
    double immediate = 0;
    double requestsPerS = 0;        ///< moving average that adapts quickly
    double steadyRequestsPerS = 0;  ///< moving average that adapts slowly
    double secondsUntilMore = 0.3;  ///< time until the tenant's next token, from the leader's last grant
    int requestsSinceUpdate = 0;    ///< since `ratesUpdatedAt_`
    int pendingTokenRequests = 0;
    TimePoint reserveRequestedAt{};
    TimePoint immediateGrantedAt{};
    TimePoint lastGrantAt{};

    bool isSteady() const;
    bool isIdle(TimePoint now) const;
    bool reserveExpired(TimePoint now) const { return now - reserveRequestedAt > kReserveLifetime; }
    bool immediateExpired(TimePoint now) const { return now - immediateGrantedAt > kImmediateTokenLifetime; }
  };
  void updateRates(TimePoint now);

  std::unordered_map<std::string, TokenBucket> buckets_;
  TimePoint ratesUpdatedAt_{};
  TimePoint lastRefillRequestAt_{};
  TimePoint lastImmediateGrantAt_{};
};
}  // namespace zinccleat::balancing
