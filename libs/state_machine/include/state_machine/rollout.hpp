/// @file
/// A rollout: the traffic of one service is moved from the revision that its runners have, the baseline, to a new one,
/// the candidate, whose runners were started beside them. Plain values; `ReplicatedState` changes them.
///
/// The leader decides on each step (libs/rollout); each is a log entry, so a new leader continues where the last one
/// stopped.
#pragma once
#include "runtime/common.hpp"

namespace zinccleat::state_machine {
/// How far a rollout has come. The values are stored and sent; a rollout's phase never falls.
enum class RolloutPhase : std::int32_t {
  canary = 0,     ///< the candidate gets a small part of the traffic, by tokens that the leader grants; at the end of
                  ///< the phase a few of its runners at a time are loaded fully, see `Rollout::loadTestGroup`
  shifting = 1,   ///< it gets `Rollout::percent` of the traffic
  completed = 2,  ///< it gets all; the runners of the baseline are no longer part of the fleet
  reverted = 3,   ///< it gets nothing
};
constexpr bool isFinal(RolloutPhase phase) {
  return phase == RolloutPhase::completed || phase == RolloutPhase::reverted;
}

/// Answers of both revisions on one route, over all proxies.
struct RouteEvidence {
  std::string route;  ///< label
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

struct Rollout {
  std::string service;                  ///< label
  std::string revision;                 ///< of the candidate
  std::int64_t durationMs = 0;          ///< the term: by then it is to be completed or reverted
  std::int32_t phaseNumber = 0;         ///< a `RolloutPhase`, as an integer for the encoding
  std::int32_t percent = 0;             ///< of the traffic, while shifting; in the canary the load test's group
  std::int64_t elapsedMs = 0;           ///< since the order, when this record was written
  std::string reason;                   ///< why the phase was entered, for operators
  std::vector<RouteEvidence> evidence;  ///< up to then
  /// Lists the fields in wire order.
  template <class V>
  void fields(V& v) {
    v("service", service), v("revision", revision), v("durationMs", durationMs), v("phase", phaseNumber);
    v("percent", percent), v("elapsedMs", elapsedMs), v("reason", reason), v("evidence", evidence);
  }
  RolloutPhase phase() const { return static_cast<RolloutPhase>(phaseNumber); }
  void setPhase(RolloutPhase phase) { phaseNumber = static_cast<std::int32_t>(phase); }
  bool inProgress() const { return !isFinal(phase()); }
  /// The group of the candidate's runners that is being loaded fully, counted from 1; 0: none. It is stored where
  /// earlier versions, which know no load test, have a percentage that they do not read in the canary.
  std::int32_t loadTestGroup() const { return phase() == RolloutPhase::canary ? percent : 0; }
  /// Whether both are the same order of an operator: a repeated order is not a second rollout.
  bool isSameRollout(const Rollout& other) const {
    return service == other.service && revision == other.revision && durationMs == other.durationMs;
  }
};
}  // namespace zinccleat::state_machine
