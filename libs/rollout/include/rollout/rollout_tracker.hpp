/// @file
/// All rollouts in progress, as a controller follows them; the leader decides on their steps. Pure: the time is passed
/// in.
///
/// Every controller tracks how long a rollout has lasted by its own steady clock, so that a new leader knows. Evidence
/// is gathered by the leader alone and written to the log with each step and now and then between: a new leader begins
/// with that.
#pragma once
#include "rollout/rollout_plan.hpp"
#include "state_machine/fleet_state.hpp"
#include "transport/lease_records.hpp"
namespace zinccleat::rollout {
class RolloutTracker {
 public:
  /// @param exposureShare the part of a service's requests that an unproven candidate may get at most.
  /// @param exposureSlack requests that it may get besides.
  explicit RolloutTracker(double exposureShare, double exposureSlack = 0)
      : exposureShare_(exposureShare), exposureSlack_(exposureSlack) {}
  /// Compares with the replica's rollouts; to be called several times a second, on every controller.
  void follow(TimePoint now, const state_machine::StateContents& state);
  /// This controller has become the leader: evidence begins with what the log holds.
  void startTerm();
  /// A proxy's report, at the leader.
  /// @return the requests that the proxy may send to the candidate; none if the report is of another rollout.
  std::optional<transport::ExposureGrant> report(TimePoint now, const std::string& proxy,
                                                 const transport::RolloutReport& report);
  /// The rollouts whose record in the log is to be replaced, at the leader: by their next step, or by newer evidence.
  /// @param ejections the runners that outlier detection has all proxies avoid.
  std::vector<state_machine::Rollout> decide(TimePoint now, const state_machine::StateContents& state,
                                             const std::vector<transport::RunnerEjection>& ejections = {});

 private:
  struct ProxyState {
    std::int32_t percent = 0;
    std::int64_t baselineInFlight = 0;
    TimePoint reportedAt{};
  };
  struct TrackedRollout {
    state_machine::Rollout rollout;  ///< as the log has it
    TimePoint startedAt{};           ///< of the order, by this controller's clock; it may seem later than it was
    TimePoint steppedAt{};
    TimePoint writtenAt{};  ///< the leader's newest record
    EvidenceLedger evidence;
    bool suspicious = false;     ///< at the last decision
    double unspentExposure = 0;  ///< tokens that reported requests have paid for and nobody got yet
    double dueExposure = 0;      ///< of those, what the present stage spends
    bool slackGranted = false;   ///< the slack has been added
    std::map<std::string, ProxyState> proxies;
    std::size_t candidateRunners = 0;
  };
  TrackedRollout* find(const std::string& service);
  FleetView fleetView(TimePoint now, const TrackedRollout& tracked, const state_machine::StateContents& state) const;
  /// Tokens for reported requests of the canary, in whole numbers.
  double grantTokens(TrackedRollout& tracked, double requests) const;
  static bool baselineIsIdle(TimePoint now, const TrackedRollout& tracked);

  double exposureShare_;
  double exposureSlack_;
  std::vector<TrackedRollout> tracked_;
};
}  // namespace zinccleat::rollout
