/// @file
/// Tracks which runners are warming up (slow start). A runner warms up after its start, after a heartbeat that
/// announces a warm-up, and after an evacuation of its zone, during which the runner may have lost its caches. Proxies
/// and the leader each track the replicated state with their own clock. Deterministic: callers pass in the time. Not
/// thread-safe.
///
/// Guarantee: an announced warm-up is counted from the time at which it is read from the replicated state. That is
/// later than the time at which the runner measured it, so a warm-up never ends here before it ends at the runner.
#pragma once
#include <set>

#include "config/configuration.hpp"
#include "state_machine/fleet_state.hpp"
namespace zinccleat::balancing {
/// The warm-ups of all runners.
class WarmupTracker {
 public:
  /// Applies the complete list of runners. A runner that is new, or that has a newer heartbeat in the replicated state,
  /// warms up for the time that the heartbeat announces.
  void followRunners(const std::vector<state_machine::Runner>& runners, TimePoint now);
  /// Applies the current state of one runner, in constant time.
  void followRunner(const state_machine::Runner& runner, TimePoint now);
  /// Removes a runner that is no longer listed, in constant time.
  void forgetRunner(const std::string& runner);
  /// Applies the complete list of evacuated zones and regions. Runners of a zone that is no longer evacuated warm up
  /// for the time that their service sets.
  /// @param zoneToRegion of all zones.
  void followEvacuations(const std::vector<std::string>& places, const std::map<std::string, std::string>& zoneToRegion,
                         TimePoint now);
  /// Applies the services of the active configuration.
  void followServices(const std::vector<config::Service>& services);

  /// The end of a runner's warm-up; a time in the past if the runner is warm or unknown.
  TimePoint warmAt(const std::string& runner) const;
  /// Whether the runner's newest heartbeat in the replicated state announces a warm-up, even if that has ended by now.
  bool hasAnnouncedWarmup(const std::string& runner) const;
  /// Requests per second that a runner can handle while it is warming up; 0 if no limit is known.
  double requestsPerS(const std::string& runner) const;
  /// The ids of the runners that are warming up with a limit on their requests. Examines only runners that were warming
  /// up at the last call or have started to warm up since.
  std::vector<std::string> limitedRunners(TimePoint now);
  /// The zone of a runner; empty if the runner is unknown.
  std::string zoneOf(const std::string& runner) const;

 private:
  struct Warmup {
    std::string service;
    std::string zone;
    std::int64_t sequence = -1;  // sequence number of the newest heartbeat in the replicated state
    TimePoint announcedEnd{};    // end of the warm-up that the runner announced
    TimePoint assumedEnd{};      // end of the warm-up that follows an evacuation of the runner's zone
    TimePoint end() const { return std::max(announcedEnd, assumedEnd); }
  };
  struct ServiceLimit {
    Duration warmup{0};
    double requestsPerS = 0;
  };
  std::unordered_map<std::string, Warmup> runners_;  // by runner id
  std::set<std::string> warming_;                    // ids of runners whose warm-up had not ended at the last check
  std::map<std::string, ServiceLimit> services_;     // by service label; only services with a request limit
  std::optional<std::set<std::string>> evacuated_;   // evacuated zones; none before the first `followEvacuations`
};
}  // namespace zinccleat::balancing
