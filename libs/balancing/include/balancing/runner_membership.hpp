/// @file
/// The runners that a proxy knows, and which of them may get a request at all: membership, draining, evacuated zones,
/// ejections, warm-ups and revisions have this one owner. Pure: the time is passed in. Not thread safe.
#pragma once
#include "balancing/runner_endpoint.hpp"
#include "balancing/warmup_tracker.hpp"
#include "config/configuration.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::balancing {
/// How far a zone is drained.
struct ZoneDrainLevel {
  int drainPercent = 0;  ///< percent of new requests to keep away
  bool migrateStreams = false;
  bool evacuated = false;  ///< no requests at all
};

/// See the file's comment. Runners are named by an index, which a runner keeps.
class RunnerMembership {
 public:
  /// Sets the complete endpoint list. The index of a runner that has left is reused once no attempt of this proxy is in
  /// flight there.
  /// @param now from here on the warm-up counts that a runner announced when it joined.
  void setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now);
  /// Follows the replicated list of runners: takes over those that have changed since the last call, or all where that
  /// is not known any more. The work grows with the runners that have changed.
  void follow(const state_machine::RunnerTable& runners, TimePoint now);
  void setZoneDrains(std::map<std::string, ZoneDrainLevel> zones);
  /// Sets the complete list of evacuated zones and regions. From `now` on runners of one that is back in use warm up.
  void setEvacuations(const std::vector<std::string>& places, TimePoint now);
  /// Sets the services of the configuration in force, which say how runners warm up.
  void setServices(const std::vector<config::Service>& services);
  /// Sets what this proxy may send to runners that are warming up; it replaces what was granted before.
  /// @param requestedAt when this proxy asked for it.
  void setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt);
  void setRegions(std::map<std::string, std::string> zoneToRegion) { regions_ = std::move(zoneToRegion); }
  /// Sets the complete list of ejected runners; all others are healthy.
  void setEjected(const std::vector<transport::RunnerEjection>& ejections);

  RunnerEndpoint& at(int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const RunnerEndpoint& at(int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return endpoints_.size(); }
  const std::vector<RunnerEndpoint>& endpoints() const { return endpoints_; }
  /// Whether a runner is warming up whose requests are bounded meanwhile.
  bool hasLimitedWarmup(TimePoint now) const;
  /// Whether a runner is warming up and no request to it is granted.
  bool awaitsWarmupGrant(int index, TimePoint now) const;
  /// Whether a runner may get such a request, but for its health and its warm-up.
  bool isEligible(int index, const RunnerQuery& query) const;
  std::vector<int> eligibleRunners(const RunnerQuery& query) const;
  bool sameRegion(std::string_view zone, std::string_view otherZone) const;

 private:
  void updateEndpoint(const state_machine::Runner& runner);
  void markAbsent(const std::string& runnerId);
  int findOrAddIndex(const std::string& runnerId);
  int allocateIndex();
  void applyZoneDrain(RunnerEndpoint& endpoint) const;
  void applyZoneDrains();
  void applyWarmup(RunnerEndpoint& endpoint) const;
  void applyWarmups();

  std::vector<RunnerEndpoint> endpoints_;
  std::unordered_map<std::string, int> indexById_;
  std::vector<int> absent_;  ///< the indexes of endpoints that are not present, which may have attempts in flight
  std::int64_t followedRevision_ = 0;                     ///< of the replicated list
  std::unordered_map<std::string, double> ejectedLevel_;  ///< by runner, also of runners that are not known yet
  std::map<std::string, ZoneDrainLevel> zoneDrains_;
  WarmupTracker warmups_;
  std::map<std::string, std::string> regions_;  ///< by zone
};
}  // namespace zinccleat::balancing
