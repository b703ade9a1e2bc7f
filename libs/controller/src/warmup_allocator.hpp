/// @file
/// The leader's part of the slow start of runners: grants the requests that all proxies together may send to a runner
/// that is warming up. A proxy without a grant sends no requests to the runner.
///
/// Guarantee: in no second do all proxies together use more grants for one runner than `Bounds` allow, even across a
/// change of leader. The refill of a bucket during one second and the preceding lifetime of a grant, plus the bucket's
/// capacity, is below the bound, and a new leader grants nothing until the grants of its predecessor have expired.
///
/// The state belongs to the leader's event-loop thread and is not replicated. Performs no I/O and reads no clock: the
/// time is passed in.
#pragma once
#include "balancing/warmup_tracker.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::controller {
/// Grants requests to runners that are warming up; see the file comment.
class WarmupAllocator {
 public:
  /// Bound on the requests that a runner may receive in any second: its `warmupPerS` x `excess` + `slack`.
  struct Bounds {
    double excess = 1.5;
    double slack = 5;
  };
  /// @param zoneToRegion the region of each zone.
  WarmupAllocator(Bounds bounds, std::map<std::string, std::string> zoneToRegion)
      : bounds_(bounds), zoneToRegion_(std::move(zoneToRegion)) {}
  /// Updates the tracked warm-ups from the replicated state. Called on every controller after each change of the state.
  /// @param configuration the configuration in force; null: none.
  void follow(TimePoint now, const state_machine::StateContents& state, const config::Configuration* configuration);
  /// Called when a leader's term begins.
  void startTerm(TimePoint now);
  /// Grants a proxy requests to runners that are warming up. Proxies in the runner's own zone have precedence: a proxy
  /// of another zone gets a grant only while the runner's bucket is full.
  /// @param zone zone of the proxy.
  std::vector<transport::WarmupGrant> allocate(TimePoint now, const std::string& zone);
  /// Whether a heartbeat changes what is known of a runner whose requests are limited during its warm-up: the runner
  /// reports a longer warm-up than known, or it is warm although the state lists it as warming up.
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
  std::int64_t followedRunners_ = 0;            // revision of the runner table last followed
  std::int64_t followedVersion_ = -1;           // version of the configuration last followed
  std::map<std::string, TokenBucket> buckets_;  // keyed by runner id
  TimePoint grantsAllowedFrom_{};
  std::size_t nextRunner_ = 0;  // start position in the list of runners; advances with each call for fairness
};
}  // namespace zinccleat::controller
