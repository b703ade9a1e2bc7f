/// @file
/// The leader's part in the slow start of runners: it hands out what all proxies together may send to a runner that is
/// warming up. A proxy without a grant sends it nothing.
///
/// Guarantee: in no second do all proxies together use more grants for one runner than `Bounds` allow, whoever leads:
/// what a bucket refills in a second and in the lifetime of a grant before it, and what it holds at most, is below the
/// bound, and a leader grants nothing before the grants of the one before it have expired.
///
/// Soft state of the leader, owned by its event-loop thread. Pure: the time is passed in.
#pragma once
#include "balancing/warmup_tracker.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::controller {
/// See the file's comment.
class WarmupAllocator {
 public:
  /// The requests that a runner may get in any second: its `warmupPerS` x `excess` + `slack`.
  struct Bounds {
    double excess = 1.5;
    double slack = 5;
  };
  /// @param zoneToRegion of all zones.
  WarmupAllocator(Bounds bounds, std::map<std::string, std::string> zoneToRegion)
      : bounds_(bounds), zoneToRegion_(std::move(zoneToRegion)) {}
  /// Follows the replicated state; for every controller, whenever it has changed.
  /// @param configuration the one in force; null: none.
  void follow(TimePoint now, const state_machine::StateContents& state, const config::Configuration* configuration);
  /// A leader's term begins.
  void startTerm(TimePoint now);
  /// What a proxy may send to the runners that are warming up. Those of the proxy's own zone are shared out first.
  /// @param zone of the proxy.
  std::vector<transport::WarmupGrant> allocate(TimePoint now, const std::string& zone);
  /// Whether a runner whose requests are bounded while it warms up says that it does so for longer than is known, or
  /// that it is warm while the state still says that it is not.
  bool isChangedBy(TimePoint now, const state_machine::Runner& reported) const;

 private:
  void followRunners(TimePoint now, const state_machine::RunnerTable& runners);
  struct TokenBucket {
    double tokens = 0;
    TimePoint refilledAt{};
  };
  TokenBucket& refilledBucket(TimePoint now, const std::string& runner);
  double allowedPerS(const std::string& runner) const;
  double tokensPerS(const std::string& runner) const;
  double capacity(const std::string& runner) const;

  Bounds bounds_;
  std::map<std::string, std::string> zoneToRegion_;
  balancing::WarmupTracker warmups_;
  std::int64_t followedIndex_ = -1;
  std::int64_t followedRunners_ = 0;            // the revision of their table
  std::int64_t followedVersion_ = -1;           // of the configuration
  std::map<std::string, TokenBucket> buckets_;  // by runner
  TimePoint grantsAllowedFrom_{};
  std::size_t nextRunner_ = 0;  // grants begin at another runner each time
};
}  // namespace zinccleat::controller
