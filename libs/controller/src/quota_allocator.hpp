/// @file
/// The leader's token bucket of each tenant's quota, from which access machines request tokens.
///
/// Guarantee: what all access machines spend of one tenant's quota within any window stays within the quota and the
/// excess that `Bounds` allows. It follows from two limits: what a bucket refills in the window, and what bucket and
/// local reserves hold together when it begins.
///
/// Soft state of the leader, owned by its event-loop thread: it is not replicated. Pure: the time is passed in. Only
/// tenants that a request names cost time or memory. The argument and its figures: docs/notes-quota.md.
#pragma once
#include "config/configuration.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::controller {
/// The token buckets of all tenants; see the file's comment.
class QuotaAllocator {
 public:
  /// What a window may hold beyond the quota before the quota counts as broken.
  struct Bounds {
    double excess = 0.1;  ///< as a fraction of the quota
    double slack = 20;    ///< in requests
    double windowS = 5;   ///< the window's length in seconds
  };
  /// Seconds of its demand that an access machine may keep in its local reserve, to bridge a change of the leader.
  static constexpr double kReserveSeconds = 1.6;

  /// To be called before the first `allocate`.
  void setBounds(Bounds bounds) { bounds_ = bounds; }
  /// A leader's term begins: buckets start almost empty, since the tokens that the previous leader granted are not
  /// known here and must not be granted again.
  void startTerm(TimePoint now);
  /// Grants tokens for requests that wait, which count as spent at once, and for the local reserve, which its holder
  /// reports in each request until it is used or has expired.
  /// @param holder the access machine with the local reserve; empty where nothing goes to a reserve.
  /// @param configuration null: nothing is granted.
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
    std::map<std::string, Reserve> reserves;  ///< by holder
  };
  /// How a tenant's bucket refills, with its fraction of the allowed excess.
  struct BucketLimits {
    double tokensPerS = 0;
    double capacity = 0;  ///< of the bucket and all local reserves together
  };
  const config::Subscriber* findSubscriber(const config::Configuration& configuration, const std::string& tenant);
  BucketLimits limitsOf(const config::Subscriber& subscriber) const;
  TokenBucket& bucketOf(const std::string& tenant);
  transport::QuotaGrant allocateOne(TimePoint now, const std::string& holder, const transport::QuotaDemand& demand,
                                    const transport::QuotaHolding* holding, const config::Subscriber& subscriber);
  /// Drops reserves that were not reported for long. @return the tokens in those of the other holders.
  static double reservedByOthers(TokenBucket& bucket, const std::string& holder, TimePoint now);
  /// @param unreserved the capacity that no local reserve has.
  void refill(TokenBucket& bucket, const BucketLimits& limits, double unreserved, TimePoint now) const;

  std::unordered_map<std::string, TokenBucket> buckets_;          // by tenant
  std::unordered_map<std::string, std::size_t> subscriberIndex_;  // by tenant, of the configuration below
  const config::Configuration* indexedConfiguration_ = nullptr;   // compared only, never followed
  std::int64_t indexedVersion_ = -1;
  TimePoint termStartedAt_{};
  Bounds bounds_;
};
}  // namespace zinccleat::controller
