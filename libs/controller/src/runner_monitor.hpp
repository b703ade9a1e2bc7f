/// @file
/// Finds runners whose heartbeats have stopped. Every controller records the heartbeats that it learns of, but only a
/// leader with a valid lease lets runners expire. Performs no I/O and reads no clock: the time is passed in.
#pragma once
#include "state_machine/replicated_state.hpp"
namespace zinccleat::controller {
/// Times of the runners' newest heartbeats. Owned and changed by `RunnerLiveness`.
class RunnerMonitor {
 public:
  /// A runner expires after three heartbeat intervals plus the time that it may need to find a controller that answers.
  explicit RunnerMonitor(Duration heartbeatInterval);
  /// Records a heartbeat.
  /// @param receivedAt time at which a controller received the heartbeat.
  void recordHeartbeat(const std::string& runner, TimePoint receivedAt);
  /// Finds expired runners. Called once a second. A leader that is new, that held no lease for a while or that was
  /// suspended first monitors heartbeats for the full timeout before any runner expires. A runner seen for the first
  /// time also gets the full timeout, because it may have joined through another controller whose batch has not arrived
  /// yet.
  /// @return the runners that have expired.
  std::vector<state_machine::Runner> findExpired(TimePoint now, bool hasLease,
                                                 const std::vector<state_machine::Runner>& runners);

 private:
  Duration timeout_;
  std::map<std::string, TimePoint> lastHeartbeat_;  // keyed by runner id
  std::optional<TimePoint> monitoringSince_;        // none: this controller holds no lease
  TimePoint lastCheck_{};
};
}  // namespace zinccleat::controller
