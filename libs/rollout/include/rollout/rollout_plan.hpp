/// @file
/// When a rollout takes its next step. Pure: the time is passed in.
///
/// The term of the order is split in parts. The canary lasts for a good half of it, so that a fault that comes late is
/// seen while few requests meet it. It ends with a load test: small groups of the candidate's runners, one after the
/// other, get as many requests as they would after completion and more, so that a fault that comes with load is seen
/// within the exposure as well. Then the traffic is shifted in steps, each of which is observed; the rest is for
/// attempts in flight at the old runners, which are stopped without notice on completion, and for a change of the
/// leader. A candidate whose fault is proven is reverted at any time before that.
#pragma once
#include "rollout/evidence_ledger.hpp"
namespace zinccleat::rollout {
/// What the leader knows of the fleet when it decides.
struct FleetView {
  double baselineCapacity = 0;  ///< requests at once, of the runners in service
  double candidateCapacity = 0;
  double allowedExposure = 0;   ///< requests that a bad candidate may get over the term, as far as can be foreseen
  bool baselineIsIdle = false;  ///< all proxies send everything to the candidate and have nothing in flight elsewhere
};
/// A step of a rollout.
struct Step {
  state_machine::RolloutPhase phase{};
  std::int32_t percent = 0;  ///< as `Rollout::percent`
  std::string reason;
};
/// Groups of the candidate's runners that are loaded one after the other.
inline constexpr std::int32_t kLoadTestGroups = 2;

/// The next step of a rollout in progress; none: it is to go on as it is.
/// @param rollout as the log has it.
/// @param elapsed since the order.
/// @param sinceStep since the newest step.
std::optional<Step> nextStep(const state_machine::Rollout& rollout, const EvidenceLedger& evidence,
                             const FleetView& fleet, Duration elapsed, Duration sinceStep);
}  // namespace zinccleat::rollout
