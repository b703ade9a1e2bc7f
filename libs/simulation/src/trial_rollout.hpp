/// The rollout of a trial: new runners whose revision fails half of its streams are started beside the others, and the
/// fleet has to revert it.
#pragma once
#include "trial_runner.hpp"
namespace zinccleat::simulation {
class TrialRollout {
 public:
  /// All references must outlive the event loop's last turn.
  TrialRollout(const LocalFleet& fleet, ExecutionCounts& executions, std::mt19937_64& random)
      : fleet_(fleet), executions_(executions), random_(random) {}
  /// Gives the order to each controller in turn until one has acknowledged it, and starts the runners. Runs on a fiber.
  /// @return false if none acknowledged it
  bool begin(Duration term);
  /// Waits until it is over. Runs on a fiber.
  /// @return whether it was reverted
  bool awaitReversal(Duration timeout);
  /// Prints what became of it.
  void report() const;
  void stopHeartbeats();

 private:
  /// Asks a controller for the state. @return empty if it does not say
  std::string retrieve();

  const LocalFleet& fleet_;
  ExecutionCounts& executions_;
  std::mt19937_64& random_;
  std::vector<std::shared_ptr<TrialRunner>> runners_;
  std::string report_;  ///< the newest answer
};
}  // namespace zinccleat::simulation
