/// @file
/// A proxy's tokens of the tenants' quotas, which the leader grants from each tenant's token bucket. One token pays for
/// one request.
///
/// There are two kinds. The *local reserve* is for tenants that send steadily through this proxy; it is refilled with
/// each lease renewal and bridges a change of leader. *Immediate tokens* are requested for requests that wait right
/// now. Both expire by themselves, so that a proxy that stops or is partitioned cannot overspend later. A tenant that
/// sends nothing through this proxy costs nothing here. See docs/notes-quota.md for the bound over all proxies. Pure:
/// the time is passed in. Not thread safe.
#pragma once
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {

class QuotaTokenBuckets {
 public:
  /// A local reserve that was not refilled for so long is void.
  static constexpr Duration kReserveLifetime{3000};
  /// Immediate tokens that were not used by then are void: the requests that they were for have ended.
  static constexpr Duration kImmediateTokenLifetime{100};

  /// Adds granted tokens to the local reserve.
  /// @param requestedAt  when `steadyDemand` and `reserveHoldings` were sent: the tokens' lifetime begins there
  void refillReserve(const std::vector<transport::QuotaGrant>& grants, TimePoint requestedAt);
  /// Adds tokens granted for waiting requests.
  void addImmediateTokens(const std::vector<transport::QuotaGrant>& grants, TimePoint now);

  /// Takes a token for a new request, which counts towards the tenant's demand.
  bool tryAcquire(const std::string& tenant, TimePoint now);
  /// Takes a token for a request that had none at first.
  bool retryAcquire(const std::string& tenant, TimePoint now);
  /// Whether the reserve of a steady tenant should be refilled now rather than with the next lease renewal.
  bool shouldRefill(const std::string& tenant, TimePoint now);

  /// A request that waits wants one token; call again for a request that still waits after an answer.
  void requestToken(const std::string& tenant) { ++buckets_[tenant].pendingTokenRequests; }
  /// A request gave up waiting.
  void cancelTokenRequest(const std::string& tenant);
  /// The token requests not sent yet, by tenant; from then on they count as sent.
  std::vector<transport::QuotaDemand> takeTokenRequests();

  /// Whether the leader has answered token requests just now, so that waiting for the next answer is worthwhile.
  bool leaderResponsive(TimePoint now) const;
  /// When a rejected client should come back.
  Duration retryAfter(const std::string& tenant, TimePoint now) const;
  /// When the leader expects to have another token of the tenant.
  Duration timeToNextToken(const std::string& tenant) const;

  /// Demand of the steady tenants, smoothed. Also forgets tenants without recent requests.
  std::vector<transport::QuotaDemand> steadyDemand(TimePoint now);
  /// Tokens in the reserves of the steady tenants.
  std::vector<transport::QuotaHolding> reserveHoldings(TimePoint now) const;
  /// Number of tenants that are kept track of.
  std::size_t size() const { return buckets_.size(); }

 private:
  struct TokenBucket {
    double reserve = 0;
    double immediate = 0;
    double requestsPerS = 0;        ///< fast moving average
    double steadyRequestsPerS = 0;  ///< slow moving average
    double secondsUntilMore = 0.3;  ///< as the leader last said
    int requestsSinceUpdate = 0;        ///< since `ratesUpdatedAt_`
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
