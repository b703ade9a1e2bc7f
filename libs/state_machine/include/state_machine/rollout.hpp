/// @file
/// A rollout moves the traffic of one service from the current revision of its runners, the baseline, to a new
/// revision, the candidate, whose runners run in parallel with the baseline's. Plain data types; `ReplicatedState`
/// modifies them.
///
/// The leader decides on each step (libs/rollout). Each step is a log entry, so a new leader continues where the
/// previous leader stopped.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// The phase of a rollout. The values are stored and sent. The phase of a rollout never decreases.
enum class RolloutPhase : std::int32_t {
  canary = 0,     ///< the candidate gets a small part of the traffic, limited by tokens that the leader grants; the
                  ///< phase ends with a load test of the candidate's runners, see `Rollout::loadTestGroup`
  shifting = 1,   ///< the candidate gets `Rollout::percent` of the traffic
  completed = 2,  ///< the candidate gets all traffic; the baseline's runners are no longer part of the fleet
  reverted = 3,   ///< the candidate gets no traffic
};
constexpr bool isFinal(RolloutPhase phase) {
  return phase == RolloutPhase::completed || phase == RolloutPhase::reverted;
}

/// Counts of answers of both revisions on one route, summed over all proxies.
struct RouteEvidence {
  std::string route;  ///< name of a stratum (rollout/stratum.hpp): the route's label and a suffix for the load
  double baselineAnswered = 0;
  double baselineFailed = 0;
  double baselineSlow = 0;
  double candidateAnswered = 0;
  double candidateFailed = 0;
  double candidateSlow = 0;
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("route", route);
    v("baselineAnswered", baselineAnswered), v("baselineFailed", baselineFailed), v("baselineSlow", baselineSlow);
    v("candidateAnswered", candidateAnswered), v("candidateFailed", candidateFailed);
    v("candidateSlow", candidateSlow);
  }
};

/// The state of a rollout of one service, as recorded in the log.
struct Rollout {
  std::string service;                  ///< label
  std::string revision;                 ///< revision of the candidate
  std::int64_t durationMs = 0;          ///< time limit, from the start to completion or reversal
  std::int32_t phaseNumber = 0;         ///< a `RolloutPhase`, as an integer for the encoding
  std::int32_t percent = 0;             ///< shifting: the candidate's part of the traffic; canary: see `loadTestGroup`
  std::int64_t elapsedMs = 0;           ///< time from the start of the rollout to this record
  std::string reason;                   ///< why the phase was entered, for operators
  std::vector<RouteEvidence> evidence;  ///< counts up to this record
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("service", service), v("revision", revision), v("durationMs", durationMs), v("phase", phaseNumber);
    v("percent", percent), v("elapsedMs", elapsedMs), v("reason", reason), v("evidence", evidence);
  }
  RolloutPhase phase() const { return static_cast<RolloutPhase>(phaseNumber); }
  void setPhase(RolloutPhase phase) { phaseNumber = static_cast<std::int32_t>(phase); }
  bool inProgress() const { return !isFinal(phase()); }
  /// The group of the candidate's runners that is under load test, counted from 1; 0: none. The group is stored in
  /// `percent`, which versions of this program without load tests do not read in the canary phase.
  std::int32_t loadTestGroup() const { return phase() == RolloutPhase::canary ? percent : 0; }
  /// Whether both records belong to the same rollout. An operator's request that repeats the service, revision and
  /// duration of the newest rollout does not begin a second one.
  bool isSameRollout(const Rollout& other) const {
    return service == other.service && revision == other.revision && durationMs == other.durationMs;
  }
};
}  // namespace zinccleat::state_machine
