/// @file
/// The runners that a proxy knows, with their load and health, and the choice of the runner that a request goes to.
///
/// Requests without a prompt go to the least loaded runner. Requests to a service that caches prompt prefixes go by
/// rendezvous hashing with bounded load: all proxies rank the runners of a shared prefix alike without talking to each
/// other, and a request leaves the prefix's preferred runner only if that runner's backlog costs more than computing
/// the prefix again elsewhere would. Pure: the time is passed in. Not thread safe.
#pragma once
#include <random>
#include <set>

#include "balancing/warmup_tracker.hpp"
#include "config/configuration.hpp"
#include "rollout/revision_gate.hpp"
#include "state_machine/replicated_state.hpp"
#include "transport/lease_records.hpp"
#include "transport/warmup_records.hpp"
namespace zinccleat::balancing {

/// One runner, as this proxy knows it.
struct RunnerEndpoint {
  std::string id;  ///< of the runner's process
  std::string service;
  std::string address;  ///< IP:port
  std::string zone;
  std::string revision;  ///< of its software; empty: not known
  TimePoint warmAt{};    ///< before this it is slow (`WarmupTracker`)
  int capacity = 0;      ///< Requests that it can work on at once, as registered.
  bool draining = false;
  bool present = true;          ///< In the endpoint list. Others only await the end of their attempts.
  int drainPercent = 0;         ///< Percent of new requests to keep away: its zone is being drained.
  bool migrateStreams = false;  ///< Live streams that can be resumed are to move elsewhere.
  bool evacuated = false;       ///< Its zone is evacuated: it gets no requests.

  // While it is warming up and its service bounds its requests meanwhile.
  bool warmupIsLimited = false;
  int warmupGrants = 0;  ///< Requests that this proxy may send it.
  TimePoint warmupGrantsEnd{};

  // This proxy's own attempts.
  int inFlight = 0;
  int prefilling = 0;              ///< of those, the ones whose runner has not begun to respond
  std::int64_t prefillTokens = 0;  ///< of the prompts of those

  // The load that the runner last reported, and this proxy's own part of it at that time.
  int reportedRunning = 0;
  int reportedWaiting = 0;
  int reportedSlots = 0;
  int inFlightAtReport = 0;
  int prefillingAtReport = 0;
  TimePoint reportedAt{};

  // Exponential backoff after failures.
  int consecutiveFailures = 0;
  TimePoint backoffUntil{};
  double ejected = 0;  ///< By outlier detection. 1: gets no requests; below 1: is probed by a few; 0: healthy.
};

/// What a request needs of a runner.
struct RunnerQuery {
  std::string_view service;
  std::string_view zone;        ///< this proxy's own
  std::uint64_t affinity = 0;   ///< hash of the prompt's shared prefix; 0: none
  bool hasPrefixCache = false;  ///< the service's runners cache prompt prefixes
  bool idempotent = false;      ///< only such requests probe an ejected runner
  std::int64_t promptTokens = 0;
  std::int64_t sharedTokens = 0;
  std::vector<int> excluded;            ///< runners that have been tried
  rollout::RevisionFilter revisions{};  ///< while the service is being rolled out
};

class RunnerPool {
 public:
  /// How far a zone is drained.
  struct ZoneDrainLevel {
    int drainPercent = 0;  ///< percent of new requests to keep away
    bool migrateStreams = false;
    bool evacuated = false;  ///< no requests at all
  };

  explicit RunnerPool(std::uint64_t seed) : rng_(seed) {}

  /// Sets the complete endpoint list. A runner keeps its index; the index of one that has left is reused once no
  /// attempt of this proxy is in flight there.
  /// @param now from here on the warm-up counts that a runner announced when it joined.
  void setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now = {});
  void setZoneDrains(std::map<std::string, ZoneDrainLevel> zones);
  /// Sets the complete list of evacuated zones and regions. From `now` on runners of one that is back in use warm up.
  void setEvacuations(const std::vector<std::string>& places, TimePoint now);
  /// Sets the services of the configuration in force, which say how runners warm up.
  void setServices(const std::vector<config::Service>& services);
  /// Sets what this proxy may send to runners that are warming up; it replaces what was granted before.
  /// @param requestedAt when this proxy asked for it.
  void setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt);
  /// Whether a runner is warming up whose requests are bounded meanwhile.
  bool hasLimitedWarmup(TimePoint now) const;
  void setRegions(std::map<std::string, std::string> zoneToRegion) { regions_ = std::move(zoneToRegion); }
  /// Sets the complete list of ejected runners; all others are healthy.
  void setEjected(const std::vector<transport::RunnerEjection>& ejections);

  /// The index of the runner to send a request to, or -1 if there is none. Never a draining or an excluded one. One in
  /// backoff or ejected only if there is no other.
  int choose(const RunnerQuery& query, TimePoint now);
  RunnerEndpoint& at(int index) { return endpoints_[static_cast<std::size_t>(index)]; }
  const RunnerEndpoint& at(int index) const { return endpoints_[static_cast<std::size_t>(index)]; }
  std::size_t size() const { return endpoints_.size(); }
  /// This proxy's attempts in flight at runners of these zones.
  int inFlightInZones(const std::set<std::string>& zones) const;
  /// This proxy's attempts in flight at runners of a service that have any revision but this.
  int inFlightAtOtherRevisions(std::string_view service, std::string_view revision) const;
  /// Requests at the runner as a fraction of its slots: from its report while that is fresh, and from this proxy's own
  /// attempts.
  double load(int index, TimePoint now) const;

  /// The course of an attempt: each start is followed by one `prefillEnded` and one `attemptEnded`.
  void attemptStarted(int index, std::int64_t promptTokens, TimePoint now = {});
  /// The runner has begun to respond, or never will.
  void prefillEnded(int index, std::int64_t promptTokens);
  void attemptEnded(int index) { --at(index).inFlight; }
  /// Takes a runner's report of its load: "running,waiting,slots". One that cannot be read is ignored.
  void updateLoad(int index, std::string_view report, TimePoint now);
  void recordSuccess(int index);
  void recordFailure(int index, TimePoint now);

 private:
  /// The runners of a service, by whether they should get a request.
  struct Candidates {
    std::vector<int> available;
    std::vector<int> zoneDraining;  ///< better than none
    std::vector<int> unhealthy;     ///< only if there is nothing else
  };
  int indexFor(const std::string& runnerId);
  void applyZoneDrains();
  void applyWarmups();
  /// Whether a runner is warming up and no request to it is granted.
  bool awaitsWarmupGrant(const RunnerEndpoint& endpoint, TimePoint now) const;
  Candidates candidatesFor(const RunnerQuery& query, TimePoint now);
  /// Whether a runner may get such a request at all.
  bool isEligible(int index, const RunnerQuery& query) const;
  std::vector<int> eligibleRunners(const RunnerQuery& query) const;
  /// Whether only a part of the eligible runners is used.
  static bool isLimited(const rollout::RevisionFilter& revisions);
  /// The runners that a filter leaves by its `runnerShare` or `loadTestGroup`, the same at all proxies. None for some
  /// requests of a load test, at random: its group would be overloaded.
  std::vector<int> runnersWithinLimit(const RunnerQuery& query, TimePoint now);
  /// The mean load of the runners of other revisions than the filter's that have reported lately; 0: too few have.
  double meanLoadOfOthers(const RunnerQuery& query, TimePoint now) const;
  /// Whether the runner that a request's prefix prefers among all eligible ones is one of these.
  bool startsWhereItStays(const RunnerQuery& query, const std::vector<int>& withinLimit) const;
  bool isUnhealthy(const RunnerEndpoint& endpoint, const RunnerQuery& query, TimePoint now);
  int preferredRunner(const RunnerQuery& query, const std::vector<int>& candidates) const;
  int chooseByPrefixAffinity(const RunnerQuery& query, const std::vector<int>& candidates, TimePoint now);
  int chooseLeastLoaded(const RunnerQuery& query, const std::vector<int>& candidates, TimePoint now);
  double affinityCost(int index, bool isPreferred, const RunnerQuery& query, TimePoint now) const;
  double distanceLoad(int index, const RunnerQuery& query) const;
  bool sameRegion(std::string_view zone, std::string_view otherZone) const;

  std::vector<RunnerEndpoint> endpoints_;
  std::unordered_map<std::string, int> indexById_;
  std::map<std::string, ZoneDrainLevel> zoneDrains_;
  WarmupTracker warmups_;
  std::map<std::string, std::string> regions_;  ///< by zone
  std::mt19937_64 rng_;
  double meanPromptTokens_ = 1000;
};
}  // namespace zinccleat::balancing
