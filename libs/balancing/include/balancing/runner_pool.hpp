/// @file
/// The choice of the runner that a request goes to, and the course of this proxy's attempts. Who may get a request at
/// all: `RunnerMembership`; load: `runner_load.hpp`; requests to a service that caches prompt prefixes go by
/// `PrefixAffinityChoice`, others by `LeastLoadedChoice`; limits of a rollout: `RevisionLimit`.
///
/// Pure: the time is passed in. Not thread safe.
#pragma once
#include "balancing/revision_limit.hpp"
#include "balancing/runner_load.hpp"
namespace zinccleat::balancing {

/// See the file's comment.
class RunnerPool {
 public:
  using ZoneDrainLevel = balancing::ZoneDrainLevel;

  explicit RunnerPool(std::uint64_t seed) : rng_(seed) {}

  // What decides who may get a request; see `RunnerMembership`.
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

  /// The index of the runner to send a request to, or -1 if there is none. Never a draining or an excluded one. One in
  /// backoff or ejected only if there is no other.
  int choose(const RunnerQuery& query, TimePoint now);
  RunnerEndpoint& at(int index) { return runners_.at(index); }
  const RunnerEndpoint& at(int index) const { return runners_.at(index); }
  std::size_t size() const { return runners_.size(); }
  const std::vector<RunnerEndpoint>& endpoints() const { return runners_.endpoints(); }
  /// This proxy's attempts in flight at runners of these zones.
  int inFlightInZones(const std::set<std::string>& zones) const;
  /// This proxy's attempts in flight at runners of a service that have any revision but this.
  int inFlightAtOtherRevisions(std::string_view service, std::string_view revision) const;
  /// See `loadOf`.
  double load(int index, TimePoint now) const { return loadOf(at(index), now); }

  /// The course of an attempt: each start is followed by one `prefillEnded` and one `attemptEnded`.
  void attemptStarted(int index, std::int64_t promptTokens, TimePoint now = {});
  /// The runner has begun to respond, or never will.
  void prefillEnded(int index, std::int64_t promptTokens);
  void attemptEnded(int index) { --at(index).inFlight; }
  /// See `balancing::updateLoad`.
  void updateLoad(int index, std::string_view report, TimePoint now) { balancing::updateLoad(at(index), report, now); }
  void recordSuccess(int index);
  void recordFailure(int index, TimePoint now);

 private:
  /// The runners of a service, by whether they should get a request.
  struct Candidates {
    std::vector<int> available;
    std::vector<int> zoneDraining;  ///< better than none
    std::vector<int> unhealthy;     ///< only if there is nothing else
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
