/// The operators of a trial: each reads the configuration at some controller, builds a change on it and sends that to
/// any controller until the answer is clear. Some answers are dropped as if lost on their way. Every call is recorded,
/// so that the history can be checked for linearizability afterwards.
#pragma once
#include <random>

#include "fleet.hpp"
#include "simulation/linearizability.hpp"
namespace zinccleat::simulation {
/// The configuration of a trial. @param subscriber an extra subscriber, whom nobody uses, that marks one change.
std::string trialConfiguration(std::int64_t version, const std::string& subscriber);

class TrialOperators {
 public:
  /// All references must outlive the event loop's last turn.
  TrialOperators(const LocalFleet& fleet, std::mt19937_64& random) : fleet_(fleet), random_(random) {}
  /// Sends the first configuration to each controller in turn until one has answered clearly.
  /// @return false if none has after 100 attempts. Runs on a fiber.
  bool installInitialConfiguration();
  /// Starts a fiber for each of so many operators.
  void start(int operators);
  /// Each operator ends after its call under way.
  void stop() { stopped_ = true; }
  /// Operators that have not ended yet.
  int running() const { return running_; }
  const std::vector<OperatorCall>& history() const { return recorder_.calls(); }

 private:
  struct Change {
    std::int64_t base = 0, version = 0;
    std::string configuration;
  };
  void run(const std::string& name);
  /// @return true if the answer was clear, and not lost on its way.
  bool sendChange(const std::string& name, std::size_t controller, const Change& change);
  std::optional<std::int64_t> readVersion(const std::string& name, std::size_t controller);
  bool answerIsLost();

  const LocalFleet& fleet_;
  std::mt19937_64& random_;
  OperatorRecorder recorder_;
  int running_ = 0;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
