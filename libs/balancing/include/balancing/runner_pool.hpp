/// @file
/// Chooses the runner for a request and tracks this proxy's attempts at the runners.
///
/// `RunnerMembership` defines which runners may get requests, and `runner_load.hpp` estimates their load. Requests to a
/// service that caches prompt prefixes use `PrefixAffinityChoice`, all others use `LeastLoadedChoice`. `RevisionLimit`
/// restricts the choice during a rollout. Deterministic: callers pass in the time. Not thread safe.
#pragma once
#include "balancing/revision_limit.hpp"
#include "balancing/runner_load.hpp"
namespace zinccleat::balancing {

/// The runners of all services, from which a proxy chooses one for each attempt.
class RunnerPool {
 public:
  using ZoneDrainLevel = balancing::ZoneDrainLevel;

  explicit RunnerPool(std::uint64_t seed) : rng_(seed) {}

  // State that decides which runners may get requests; see `RunnerMembership`.
  void setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now = {}) {
    runners_.setRunners(runners, now);
  }
  void followRunners(const state_machine::RunnerTable& runners, TimePoint now) { runners_.follow(runners, now); }
  void setZoneDrains(std::map<std::string, ZoneDrainLevel> zones) { runners_.setZoneDrains(std::move(zones)); }
  void setEvacuations(const std::vector<std::string>& places, TimePoint now) { runners_.setEvacuations(places, now); }
  void setServices(const std::vector<config::Service>& services) { runners_.setServices(services); }
  void setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt) {
    runners_.setWarmupGrants(grants, requestedAt);
  }
  bool hasLimitedWarmup(TimePoint now) const { return runners_.hasLimitedWarmup(now); }
  void setRegions(std::map<std::string, std::string> zoneToRegion) { runners_.setRegions(std::move(zoneToRegion)); }
  void setEjected(const std::vector<transport::RunnerEjection>& ejections) { runners_.setEjected(ejections); }

  /// The index of the runner to send a request to, or -1 if there is none. A draining or excluded runner is never
  /// chosen. A runner that is in backoff or ejected is chosen only if there is no other.
  int choose(const RunnerQuery& query, TimePoint now);
  RunnerEndpoint& at(int index) { return runners_.at(index); }
  const RunnerEndpoint& at(int index) const { return runners_.at(index); }
  std::size_t size() const { return runners_.size(); }
  const std::vector<RunnerEndpoint>& endpoints() const { return runners_.endpoints(); }
  /// The number of this proxy's attempts in flight at runners of these zones.
  int inFlightInZones(const std::set<std::string>& zones) const;
  /// The number of this proxy's attempts in flight at those runners of the service whose revision is not `revision`.
  int inFlightAtOtherRevisions(std::string_view service, std::string_view revision) const;
  /// The load of a runner as `loadOf` estimates it.
  double load(int index, TimePoint now) const { return loadOf(at(index), now); }

  /// Records the start of an attempt. Each start must be followed by one `prefillEnded` and one `attemptEnded`.
  void attemptStarted(int index, std::int64_t promptTokens, TimePoint now = {});
  /// Records that the runner has begun to respond to an attempt, or that the attempt ended without a response.
  void prefillEnded(int index, std::int64_t promptTokens);
  void attemptEnded(int index) { --at(index).inFlight; }
  /// Stores a runner's load report; see `balancing::updateLoad`.
  void updateLoad(int index, std::string_view report, TimePoint now) { balancing::updateLoad(at(index), report, now); }
  void recordSuccess(int index);
  void recordFailure(int index, TimePoint now);

 private:
  /// The runners that a request may go to, grouped by preference.
  struct Candidates {
    std::vector<int> available;
    std::vector<int> zoneDraining;  ///< used only if no runner is available
    std::vector<int> unhealthy;     ///< used only if both other groups are empty
  };
  Candidates candidatesFor(const RunnerQuery& query, TimePoint now);
  bool isUnhealthy(const RunnerEndpoint& endpoint, const RunnerQuery& query, TimePoint now);

  RunnerMembership runners_;
  LeastLoadedChoice leastLoadedChoice_;
  PrefixAffinityChoice affinityChoice_;
  RevisionLimit revisionLimit_;
  std::mt19937_64 rng_;
};
}  // namespace zinccleat::balancing
