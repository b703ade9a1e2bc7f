/// @file
/// Which runners are warming up (slow start): since they started, because they said so in a heartbeat, or because their
/// zone was evacuated until now, which may have left them without caches. Both the proxies and the leader follow the
/// replicated state with it, each by its own clock. Pure: the time is passed in. Not thread-safe.
///
/// Guarantee: a warm-up that the state announces counts from when it is followed here, which is later than when the
/// runner measured it; so it never ends here before it ends at the runner.
#pragma once
#include <set>

#include "config/configuration.hpp"
#include "state_machine/fleet_state.hpp"
namespace zinccleat::balancing {
/// The warm-ups of all runners; see the file's comment.
class WarmupTracker {
 public:
  /// Takes over the complete list of runners. A runner that is new, or whose heartbeat was written anew, warms up for
  /// as long as it says.
  void followRunners(const std::vector<state_machine::Runner>& runners, TimePoint now);
  /// Takes over what has become of one runner, in constant time.
  void followRunner(const state_machine::Runner& runner, TimePoint now);
  /// Forgets a runner that is no longer listed, in constant time.
  void forgetRunner(const std::string& runner);
  /// Takes over the complete list of evacuated zones and regions. Runners of one that is back in use warm up for as
  /// long as their service says.
  /// @param zoneToRegion of all zones.
  void followEvacuations(const std::vector<std::string>& places, const std::map<std::string, std::string>& zoneToRegion,
                         TimePoint now);
  /// The services of the configuration in force.
  void followServices(const std::vector<config::Service>& services);

  /// When a runner is warm; the past: it is, or it is not known.
  TimePoint warmAt(const std::string& runner) const;
  /// Whether the newest heartbeat of a runner that was written says that it warms up, also if that is over by now.
  bool hasAnnouncedWarmup(const std::string& runner) const;
  /// Requests a second that a runner bears while it warms up; 0: no bound is known.
  double requestsPerS(const std::string& runner) const;
  /// The runners that are warming up and whose requests are bounded meanwhile, by id. Looks at no others.
  std::vector<std::string> limitedRunners(TimePoint now);
  /// The zone of a runner; empty: it is not known.
  std::string zoneOf(const std::string& runner) const;

 private:
  struct Warmup {
    std::string service;
    std::string zone;
    std::int64_t sequence = -1;  // of the newest heartbeat that was written
    TimePoint announcedEnd{};       // until then by what the runner said
    TimePoint assumedEnd{};         // until then because its zone was evacuated
    TimePoint end() const { return std::max(announcedEnd, assumedEnd); }
  };
  struct ServiceLimit {
    Duration warmup{0};
    double requestsPerS = 0;
  };
  std::unordered_map<std::string, Warmup> runners_;  // by id
  std::set<std::string> warming_;                    // the ids of those whose warm-up was not over when last looked at
  std::map<std::string, ServiceLimit> services_;     // by label, those with a bound
  std::optional<std::set<std::string>> evacuated_;   // zones; none: nothing was followed yet
};
}  // namespace zinccleat::balancing
