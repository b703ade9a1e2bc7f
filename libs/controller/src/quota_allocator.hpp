/// @file
/// The leader's token buckets, one per tenant quota, from which access machines request tokens.
///
/// Guarantee: within any window, the tokens of one tenant spent by all access machines together stay within the quota
/// plus the excess that `Bounds` allows. This follows from two limits: the refill of a bucket during the window, and
/// the tokens in the bucket and in all local reserves at the start of the window.
///
/// The state belongs to the leader's event-loop thread and is not replicated. Performs no I/O and reads no clock: the
/// time is passed in. Only tenants named in requests cost time or memory. The proof and its figures are in
/// docs/notes-quota.md.
#pragma once
#include "config/configuration.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
/// The token buckets of all tenants; see the file comment.
class QuotaAllocator {
 public:
  /// How far the requests of a window may exceed the quota before the quota counts as violated.
  struct Bounds {
    double excess = 0.1;  ///< as a fraction of the quota
    double slack = 20;    ///< in requests
    double windowS = 5;   ///< the window's length in seconds
  };
  /// Length of demand, in seconds, that an access machine may hold as a local reserve to bridge a change of leader.
  static constexpr double kReserveSeconds = 1.6;

  /// Must be called before the first `allocate`.
  void setBounds(Bounds bounds) { bounds_ = bounds; }
  /// Starts a leader's term. Buckets start almost empty: the tokens granted by the previous leader are unknown here and
  /// must not be granted again.
  void startTerm(TimePoint now);
  /// Grants tokens for waiting requests, which count as spent at once, and tokens for the local reserve, which its
  /// holder reports in each request until the reserve is used or has expired.
  /// @param holder the access machine that holds the local reserve; empty if no tokens go to a reserve.
  /// @param configuration the configuration in force; null: nothing is granted.
  std::vector<transport::QuotaGrant> allocate(TimePoint now, const std::string& holder,
                                              const std::vector<transport::QuotaDemand>& demand,
                                              const std::vector<transport::QuotaHolding>& holdings,
                                              const config::Configuration* configuration);

 private:
  struct Reserve {
    double tokens = 0;
    TimePoint reportedAt{};
  };
  struct TokenBucket {
    double tokens = 0;
    TimePoint refilledAt{};
    std::map<std::string, Reserve> reserves;  ///< keyed by holder id
  };
  /// Refill rate and capacity of a tenant's bucket, including its share of the allowed excess.
  struct BucketLimits {
    double tokensPerS = 0;
    double capacity = 0;  ///< limit on the tokens in the bucket and in all local reserves together
  };
  const config::Subscriber* findSubscriber(const config::Configuration& configuration, const std::string& tenant);
  BucketLimits limitsOf(const config::Subscriber& subscriber) const;
  TokenBucket& bucketOf(const std::string& tenant);
  transport::QuotaGrant allocateOne(TimePoint now, const std::string& holder, const transport::QuotaDemand& demand,
                                    const transport::QuotaHolding* holding, const config::Subscriber& subscriber);
  /// Drops reserves that were not reported for a long time.
  /// @return the tokens in the reserves of other holders.
  static double reservedByOthers(TokenBucket& bucket, const std::string& holder, TimePoint now);
  /// Adds the tokens for the time since the last refill.
  /// @param unreserved the part of the capacity that no local reserve holds.
  void refill(TokenBucket& bucket, const BucketLimits& limits, double unreserved, TimePoint now) const;

  std::unordered_map<std::string, TokenBucket> buckets_;  // keyed by tenant label
  // Keyed by tenant label: position in `indexedConfiguration_`.
  std::unordered_map<std::string, std::size_t> subscriberIndex_;
  const config::Configuration* indexedConfiguration_ = nullptr;  // compared only, never dereferenced
  std::int64_t indexedVersion_ = -1;
  TimePoint termStartedAt_{};
  Bounds bounds_;
};
}  // namespace zinccleat::controller
