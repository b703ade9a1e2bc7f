/// @file
/// Tracks all rollouts in progress on a controller. The leader also decides on their steps. Deterministic: the time is
/// passed in.
///
/// Every controller measures the elapsed time of each rollout with its own steady clock, so that a new leader knows the
/// elapsed time. Only the leader collects evidence. The leader writes the evidence to the log with each step and
/// periodically between steps; a new leader starts with the evidence from the log.
#pragma once
#include "rollout/rollout_plan.hpp"
#include "state_machine/fleet_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::rollout {
/// Collects reports, grants tokens and decides on the steps of all rollouts in progress.
class RolloutTracker {
 public:
  /// @param exposureShare maximum fraction of a service's requests that an unproven candidate may get.
  /// @param exposureSlack number of requests that the candidate may get in addition.
  explicit RolloutTracker(double exposureShare, double exposureSlack = 0)
      : exposureShare_(exposureShare), exposureSlack_(exposureSlack) {}
  /// Updates the tracked rollouts from the replica. Must be called several times a second on every controller.
  void follow(TimePoint now, const state_machine::StateContents& state);
  /// Must be called when this controller becomes the leader. Resets the evidence to that in the log, and clears the
  /// tokens and the states of the proxies.
  void startTerm();
  /// Processes a proxy's report on the leader.
  /// @return the number of requests that the proxy may send to the candidate; none if the report belongs to another
  ///         rollout.
  std::optional<transport::ExposureGrant> report(TimePoint now, const std::string& proxy,
                                                 const transport::RolloutReport& report);
  /// Decides on the steps of all rollouts on the leader.
  /// @param ejections the runners that outlier detection has ejected from all proxies.
  /// @return the records to write to the log, each with the next step of a rollout or with newer evidence.
  std::vector<state_machine::Rollout> decide(TimePoint now, const state_machine::StateContents& state,
                                             const std::vector<transport::RunnerEjection>& ejections = {});

 private:
  struct ProxyState {
    std::int32_t percent = 0;
    std::int64_t baselineInFlight = 0;
    TimePoint reportedAt{};
  };
  struct TrackedRollout {
    state_machine::Rollout rollout;  ///< newest record in the log
    TimePoint startedAt{};  ///< start of the rollout by this controller's clock; may be later than the real start
    TimePoint steppedAt{};  ///< time of the newest step
    TimePoint writtenAt{};  ///< time of the leader's newest record
    EvidenceLedger evidence;
    bool suspicious = false;    ///< whether there was a suspicion at the last decision
    double unspentTokens = 0;   ///< tokens that result from reported requests and have not been granted yet
    double dueTokens = 0;       ///< the part of `unspentTokens` that may be granted in the current stage
    bool slackGranted = false;  ///< whether the exposure slack has been added
    std::map<std::string, ProxyState> proxies;
    std::size_t candidateRunners = 0;
  };
  TrackedRollout* find(const std::string& service);
  FleetView fleetView(TimePoint now, const TrackedRollout& tracked, const state_machine::StateContents& state) const;
  /// The whole number of tokens to grant for reported requests of the canary phase.
  double grantTokens(TrackedRollout& tracked, double requests) const;
  static bool baselineIsIdle(TimePoint now, const TrackedRollout& tracked);

  double exposureShare_;
  double exposureSlack_;
  std::vector<TrackedRollout> tracked_;
};
}  // namespace zinccleat::rollout
