/// @file
/// Decides on the next step of a rollout. Pure function: the time is passed in.
///
/// The term, which is the duration of the rollout, is divided into phases. The canary phase lasts a little more than
/// half of the term, so that a fault that appears late is detected while few requests are exposed to it. The canary
/// phase ends with a load test: small groups of the candidate's runners, one after the other, get more requests than
/// they would get after completion, so that a fault that appears only under load is also detected within the allowed
/// exposure. Then the traffic is shifted in steps, and each step is observed. The remaining time is for attempts in
/// flight at the baseline's runners, which are stopped without notice on completion, and for a change of the leader. A
/// candidate with a proven fault is reverted at any time before completion.
#pragma once
#include "rollout/evidence_ledger.hpp"
namespace zinccleat::rollout {
/// The state of the fleet on which the leader bases a decision.
struct FleetView {
  double baselineCapacity = 0;          ///< maximum number of concurrent requests of the baseline's runners in service
  double candidateCapacity = 0;         ///< the same for the candidate's runners
  double allowedCandidateRequests = 0;  ///< estimated number of requests that a bad candidate may get over the term
  bool baselineIsIdle = false;  ///< all proxies send all traffic to the candidate, with no attempt at the baseline
};
/// A step of a rollout.
struct Step {
  state_machine::RolloutPhase phase{};
  std::int32_t percent = 0;  ///< see `Rollout::percent`
  std::string reason;
};
/// Number of groups of the candidate's runners that are load-tested one after the other.
inline constexpr std::int32_t kLoadTestGroups = 2;

/// The next step of a rollout; none if the rollout stays in its current step.
/// @param rollout the newest record in the log.
/// @param elapsed time since the start of the rollout.
/// @param sinceStep time since the newest step.
std::optional<Step> nextStep(const state_machine::Rollout& rollout, const EvidenceLedger& evidence,
                             const FleetView& fleet, Duration elapsed, Duration sinceStep);
}  // namespace zinccleat::rollout
