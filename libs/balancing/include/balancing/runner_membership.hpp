/// @file
/// The runners that a proxy knows, and whether each may get requests. This class owns the state that decides this:
/// membership, draining, evacuated zones, ejections, warm-ups and revisions. Deterministic: callers pass in the time.
/// Not thread safe.
#pragma once
#include "balancing/runner_endpoint.hpp"
#include "balancing/warmup_tracker.hpp"
#include "config/configuration.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::balancing {
/// The current step of a zone drain.
struct ZoneDrainLevel {
  int drainPercent = 0;         ///< percent of new requests to route to other zones
  bool migrateStreams = false;  ///< whether live streams have to move to runners of other zones
  bool evacuated = false;       ///< whether the zone gets no requests at all
};

/// The runners that a proxy knows. A runner is identified by an index that stays the same while the runner is listed.
class RunnerMembership {
 public:
  /// Sets the complete endpoint list. The index of a removed runner is reused once no attempt of this proxy is in
  /// flight at that runner.
  /// @param now start of the warm-ups that newly listed runners have announced.
  void setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now);
  /// Applies the changes of the replicated runner table since the last call. If the table no longer has these changes,
  /// the complete list is applied. The cost is proportional to the number of changed runners.
  void follow(const state_machine::RunnerTable& runners, TimePoint now);
  void setZoneDrains(std::map<std::string, ZoneDrainLevel> zones);
  /// Sets the complete list of evacuated zones and regions. Runners of a zone that is no longer evacuated warm up from
  /// `now` on.
  void setEvacuations(const std::vector<std::string>& places, TimePoint now);
  /// Sets the services of the active configuration, which define the warm-up of their runners.
  void setServices(const std::vector<config::Service>& services);
  /// Sets how many requests this proxy may send to each runner that is warming up. Replaces the earlier grants of these
  /// runners.
  /// @param requestedAt when this proxy requested the grants; their lifetime starts then.
  void setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt);
  void setRegions(std::map<std::string, std::string> zoneToRegion) { regions_ = std::move(zoneToRegion); }
  /// Sets the complete list of ejected runners; all other runners count as healthy.
  void setEjected(const std::vector<transport::RunnerEjection>& ejections);

  RunnerEndpoint& at(int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const RunnerEndpoint& at(int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return endpoints_.size(); }
  const std::vector<RunnerEndpoint>& endpoints() const { return endpoints_; }
  /// Whether any runner is warming up with a limit on its requests.
  bool hasLimitedWarmup(TimePoint now) const;
  /// Whether a runner is warming up with a limit on its requests and this proxy has no valid grant for it.
  bool awaitsWarmupGrant(int index, TimePoint now) const;
  /// Whether a runner matches the query, regardless of its health and its warm-up.
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
  std::vector<int> absent_;  ///< indexes of endpoints that are not present; attempts may still be in flight there
  std::int64_t followedRevision_ = 0;                     ///< revision of the replicated runner table applied last
  std::unordered_map<std::string, double> ejectedLevel_;  ///< by runner id, including runners that are not listed yet
  std::map<std::string, ZoneDrainLevel> zoneDrains_;
  WarmupTracker warmups_;
  std::map<std::string, std::string> regions_;  ///< by zone
};
}  // namespace zinccleat::balancing
