/// The rollout of a trial. Runners of a new revision that fails half of its streams are started in addition to the
/// existing runners. The fleet is expected to revert the rollout.
#pragma once
#include "trial_runner.hpp"
namespace zinccleat::simulation {
class TrialRollout {
 public:
  /// The referenced objects must stay valid until the event loop has stopped.
  TrialRollout(const LocalFleet& fleet, ExecutionCounts& executions, std::mt19937_64& random)
      : fleet_(fleet), executions_(executions), random_(random) {}
  /// Sends Rollouts.Begin to the controllers in turn until one acknowledges the request, then starts the new runners.
  /// Must run on a fiber.
  /// @param plannedDuration the planned duration of the rollout
  /// @return false if 60 attempts were not acknowledged
  bool begin(Duration plannedDuration);
  /// Waits until the rollout is completed or reverted. Must run on a fiber.
  /// @return whether the rollout was reverted within the time limit
  bool awaitReversal(Duration timeout);
  /// Prints the last known state of the rollout and the number of streams that the new runners received.
  void report() const;
  /// Stops the heartbeats of the new runners.
  void stopHeartbeats();

 private:
  /// Requests the rollout from a random controller.
  /// @return the rollout's state; empty if there was no response with status 200 or the response has no state
  std::string retrieve();

  const LocalFleet& fleet_;
  ExecutionCounts& executions_;
  std::mt19937_64& random_;
  std::vector<std::shared_ptr<TrialRunner>> runners_;
  std::string report_;  ///< body of the newest response with status 200
};
}  // namespace zinccleat::simulation
