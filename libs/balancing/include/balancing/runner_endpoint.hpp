/// @file
/// The proxy's record of a runner, and the requirements of a request on the runner.
#pragma once
#include "rollout/revision_gate.hpp"
#include "runtime/common.hpp"
namespace zinccleat::balancing {
/// The proxy's record of one runner.
struct RunnerEndpoint {
  std::string id;  ///< id of the runner's process
  std::string service;
  std::string address;  ///< IP:port
  std::string zone;
  std::string revision;  ///< software revision; empty if unknown
  TimePoint warmAt{};    ///< end of the warm-up; before this time the runner is slow (`WarmupTracker`)
  int capacity = 0;      ///< requests that the runner can process concurrently, as registered
  bool draining = false;
  bool present = true;          ///< whether the runner is in the endpoint list; if not, only running attempts remain
  int drainPercent = 0;         ///< percent of new requests to route elsewhere because the zone is being drained
  bool migrateStreams = false;  ///< whether resumable live streams have to move to another runner
  bool evacuated = false;       ///< whether the zone is evacuated; the runner then gets no requests

  // Request limit during the warm-up, if the runner's service sets one.
  bool warmupIsLimited = false;
  int warmupGrants = 0;  ///< requests that this proxy may still send to the runner
  TimePoint warmupGrantsExpireAt{};

  // This proxy's own attempts at the runner.
  int inFlight = 0;
  int prefilling = 0;              ///< attempts in flight for which the runner has not begun to respond
  std::int64_t prefillTokens = 0;  ///< prompt tokens of the attempts counted by `prefilling`

  // The load that the runner last reported, and this proxy's own part of that load at the time of the report.
  int reportedRunning = 0;
  int reportedWaiting = 0;
  int reportedSlots = 0;
  int inFlightAtReport = 0;
  int prefillingAtReport = 0;
  TimePoint reportedAt{};

  // Exponential backoff after failures.
  int consecutiveFailures = 0;
  TimePoint backoffUntil{};
  /// Level of ejection by outlier detection: 0 is healthy, 1 gets no requests, in between gets a few probe requests.
  double ejected = 0;
};

/// The requirements of a request on its runner.
struct RunnerQuery {
  std::string_view service;
  std::string_view zone;        ///< the proxy's own zone
  std::uint64_t affinity = 0;   ///< hash of the prompt's shared prefix; 0 if there is none
  bool hasPrefixCache = false;  ///< whether the service's runners cache prompt prefixes
  bool idempotent = false;      ///< whether the request may run twice; only such requests probe an ejected runner
  std::int64_t promptTokens = 0;
  std::int64_t sharedTokens = 0;        ///< prompt tokens of the shared prefix
  std::vector<int> excluded;            ///< indexes of runners that were tried already
  rollout::RevisionFilter revisions{};  ///< permitted revisions while the service is being rolled out
};
}  // namespace zinccleat::balancing
