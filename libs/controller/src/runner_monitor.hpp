/// @file
/// Finds the runners whose heartbeats have stopped. Every controller records what it hears of heartbeats; only a leader
/// with a valid lease lets runners expire. Pure: the time is passed in.
#pragma once
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// Owned and changed by `RunnerLiveness`.
class RunnerMonitor {
 public:
  /// A runner expires after three heartbeat intervals and the time that it may take to find a controller that answers.
  explicit RunnerMonitor(Duration heartbeatInterval);
  /// @param receivedAt when any controller received the heartbeat.
  void recordHeartbeat(const std::string& runner, TimePoint receivedAt);
  /// To be called each second. A leader that is new, that held no lease for a while or that was suspended first
  /// listens for the full timeout. So does one that sees a runner for the first time: the runner may have joined at
  /// another controller, whose batch is still on its way.
  /// @return the runners that have expired.
  std::vector<state_machine::Runner> findExpired(TimePoint now, bool hasLease,
                                                 const std::vector<state_machine::Runner>& runners);

 private:
  Duration timeout_;
  std::map<std::string, TimePoint> lastHeartbeat_;  // by runner
  std::optional<TimePoint> monitoringSince_;        // none: without a lease
  TimePoint lastCheck_{};
};
}  // namespace zinccleat::controller
