/// @file
/// Records what a soak run observes from outside the fleet (requests, executions, signals, configuration changes), and
/// checks the rules that the fleet must satisfy. The code reads no clock: all times are passed in.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "runtime/common.hpp"
namespace zinccleat::soak {
/// Time limits of the rules, equal to the timers in the fleet's settings.
struct Bounds {
  Duration contact{3000};      ///< a machine is connected again within this time after a disturbance
  Duration drain{2000};        ///< a drain must be effective within this time after its acknowledgement
  Duration configApply{2000};  ///< a configuration must be effective within this time after its acknowledgement
  Duration lossSlack{200};     ///< a connection closed within this time after a request was sent may have
                               ///< been closed before the request arrived
  Duration grace{4000};        ///< time from SIGTERM to SIGKILL
  Duration evacuate{2000};     ///< an evacuation must be effective within this time after its acknowledgement
  Duration revoke{5000};       ///< a key must be refused by every machine, connected or not, within this time after the
                               ///< acknowledgement of a configuration without it
};
enum class RequestKind : std::uint8_t { safe, unsafe, stream };
enum class RequestEnd : std::uint8_t { answered, connectionClosed, unanswered };

/// One attempt of a client, identified by a unique attempt id.
struct ClientRequest {
  std::string attemptId;
  RequestKind kind = RequestKind::safe;
  std::string route;   ///< label of the requested optional route; empty: a route that every configuration has
  int machine = 0;     ///< access machine that received the request
  TimePoint sentAt{};  ///< when the last byte was written
  TimePoint endedAt{};
  RequestEnd end = RequestEnd::unanswered;
  int status = 0;
  bool bodyMatches = false;
  std::string accessKey;  ///< the key that the request carries; empty: its route needs none
};
/// A runner started to execute a request.
struct Execution {
  std::string runner;
  TimePoint at{};
  std::string subscriber;  ///< the tenant that the runner was told
  bool showsKey = false;   ///< whether the runner was given the client's key
};
/// A change of the configuration, as observed by the operator who sent it.
struct ConfigurationChange {
  std::int64_t version = 0;
  std::set<std::string> routes;  ///< labels of the optional routes in the new configuration
  TimePoint sentAt{};
  std::optional<TimePoint> acknowledgedAt;
  bool refused = false;             ///< rejected by a definite response, so that the change never became effective
  std::set<std::string> keys = {};  ///< access keys of the new configuration, each of a tenant of its own
};
/// The tenant that owns an access key in every configuration that has the key.
std::string tenantOf(const std::string& accessKey);
/// An evacuation of a zone: runners of the zone must receive no requests.
struct ZoneEvacuation {
  std::string zone;
  TimePoint acknowledgedAt{};
  std::optional<TimePoint> releasedAt;  ///< when the release of the zone was requested
};
/// A time at which a machine was disturbed, by a signal, a restart or an injected fault.
struct Disturbance {
  static constexpr int kCore = -1;
  int machine = kCore;  ///< an access machine, or `kCore`: a controller, which affects all machines
  TimePoint at{};
  bool planned = true;  ///< true for SIGTERM, SIGHUP and a start of the process; false for SIGKILL and faults
};
/// The exit of a process.
struct ProcessExit {
  std::string name;
  int status = 0;                         ///< status as returned by `waitpid`
  std::optional<TimePoint> terminatedAt;  ///< when SIGTERM was sent
  bool killed = false;                    ///< whether the soak run sent SIGKILL
  TimePoint startedAt{};                  ///< zero: at the start of the fleet
  TimePoint endedAt{};
  std::string signalMasks;  ///< signal masks from /proc when a signal was last sent
  /// Whether a signal was sent before the program could block it: during exec, or while the dynamic linker maps the
  /// program's libraries. The signal then ends the process, whatever the program does.
  bool signalledBeforeProgram = false;
};

/// A time during which the run itself stood still: it read no answer and ran no runner.
struct OwnStall {
  TimePoint from{};
  TimePoint to{};
};

/// All observations of one run.
struct Observations {
  Bounds bounds;
  std::vector<ClientRequest> requests;
  std::map<std::string, std::vector<Execution>> executions;  ///< key: attempt id
  std::map<std::string, TimePoint> departures;     ///< key: runner; when its drain or detachment was acknowledged
  std::map<std::string, std::string> runnerZones;  ///< key: runner
  std::vector<ZoneEvacuation> evacuations;
  std::vector<ConfigurationChange> changes;
  std::vector<Disturbance> disturbances;
  std::vector<ProcessExit> exits;
  std::vector<OwnStall> ownStalls;
  std::map<std::string, int> peakMemoryMb;   ///< key: process
  std::map<std::string, int> memoryLimitMb;  ///< key: process
  std::optional<std::int64_t> finalVersion;  ///< configuration version that was read at the end of the run

  /// Whether a machine must be connected to the core at a time: neither the machine nor the core was disturbed within
  /// `Bounds::contact` before `at`.
  bool mustBeConnected(int machine, TimePoint at) const;
  /// For how long the run itself stood still between two times.
  Duration stalledBetween(TimePoint from, TimePoint to) const;
  /// When a machine was disturbed most recently before `at`.
  std::optional<TimePoint> lastDisturbanceBefore(int machine, TimePoint at) const;
  /// Whether neither a machine nor the core had an unplanned disturbance between `from` minus `Bounds::contact` and
  /// `to`.
  bool hasNoUnplannedDisturbance(int machine, TimePoint from, TimePoint to) const;
};
/// Whether a process ended by a signal that reached it before the program could block it. Only the first moments of a
/// process are excused.
bool endedBeforeProgram(const ProcessExit& exit);
/// One violation of a rule.
struct Violation {
  std::string rule;
  std::string what;
};
/// Returns the violations that the observations show.
std::vector<Violation> findViolations(const Observations& observations);
}  // namespace zinccleat::soak
