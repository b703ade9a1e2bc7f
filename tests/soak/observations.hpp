/// @file
/// What a soak run has seen from outside: requests, executions, signals, changes; and the rules that it must not break.
/// Pure: all times are passed in.
#pragma once
#include <map>
#include <optional>
#include <set>

#include "runtime/common.hpp"
namespace zinccleat::soak {
/// The bounds of the users' rules, as the fleet's settings have them.
struct Bounds {
  Duration contact{3000};      ///< a machine is in touch so long after the last trouble
  Duration drain{2000};        ///< a drain binds so long after its acknowledgement
  Duration configApply{2000};  ///< a configuration binds so long after its acknowledgement
  Duration lossSlack{200};     ///< a connection that ends sooner after a request's last byte may have crossed it
  Duration grace{4000};        ///< from SIGTERM to SIGKILL
  Duration evacuate{2000};     ///< an evacuation binds so long after its acknowledgement
};
enum class RequestKind : std::uint8_t { safe, unsafe, stream };
enum class RequestEnd : std::uint8_t { answered, connectionClosed, unanswered };

/// One try of a client, with an id of its own.
struct ClientRequest {
  std::string attemptId;
  RequestKind kind = RequestKind::safe;
  std::string route;   ///< label of the optional route that it went to; empty: one that is always there
  int machine = 0;     ///< access machine that took it
  TimePoint sentAt{};  ///< its last byte
  TimePoint endedAt{};
  RequestEnd end = RequestEnd::unanswered;
  int status = 0;
  bool bodyMatches = false;
};
/// A runner has begun work on a request.
struct Execution {
  std::string runner;
  TimePoint at{};
};
/// A change of the configuration, as its operator saw it.
struct Change {
  std::int64_t version = 0;
  std::set<std::string> routes;  ///< the optional ones that it has
  TimePoint sentAt{};
  std::optional<TimePoint> acknowledgedAt;
  bool refused = false;  ///< by a clear answer: it was never in force
};
/// The runners of a zone are to get nothing.
struct ZoneEvacuation {
  std::string zone;
  TimePoint acknowledgedAt{};
  std::optional<TimePoint> releasedAt;  ///< when it was asked to be taken back
};
/// A moment at which something was done to a machine.
struct Disturbance {
  static constexpr int kCore = -1;
  int machine = kCore;  ///< an access machine; `kCore`: one of the core, which all of them feel
  TimePoint at{};
  bool planned = true;  ///< SIGTERM, SIGHUP, a start after them; not: a kill
};
/// The end of a process.
struct ProcessExit {
  std::string name;
  int status = 0;                         ///< as of `waitpid`
  std::optional<TimePoint> terminatedAt;  ///< SIGTERM
  bool killed = false;                    ///< SIGKILL, by the soak
  TimePoint startedAt{};                  ///< zero: with the fleet
  TimePoint endedAt{};
  std::string signalMasks;  ///< of the process as it got SIGTERM last, as /proc has them
};

/// All that was seen in one run.
struct Observations {
  Bounds bounds;
  std::vector<ClientRequest> requests;
  std::map<std::string, std::vector<Execution>> executions;  ///< by attempt id
  std::map<std::string, TimePoint> departures;               ///< acknowledgement of each runner's drain or detaching
  std::map<std::string, std::string> runnerZones;            ///< by runner
  std::vector<ZoneEvacuation> evacuations;
  std::vector<Change> changes;
  std::vector<Disturbance> disturbances;
  std::vector<ProcessExit> exits;
  std::optional<std::int64_t> finalVersion;  ///< read back at the end

  /// Whether a machine was in touch: nothing was done to it or to the core in `Bounds::contact` before `at`.
  bool inTouch(int machine, TimePoint at) const;
  /// Whether nothing unplanned was done to a machine or to the core from `Bounds::contact` before `from` to `to`.
  bool calm(int machine, TimePoint from, TimePoint to) const;
};
/// One broken rule.
struct Violation {
  std::string rule;
  std::string what;
};
/// The rules that the observations break; empty: none.
std::vector<Violation> brokenRules(const Observations& seen);
}  // namespace zinccleat::soak
