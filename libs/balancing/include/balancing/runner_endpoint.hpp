/// @file
/// One runner as a proxy knows it, and what a request needs of one.
#pragma once
#include "rollout/revision_gate.hpp"
#include "runtime/common.hpp"
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
  TimePoint warmupGrantsExpireAt{};

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
}  // namespace zinccleat::balancing
