/// The simulated operators of a trial. Each operator reads the configuration from a random controller, derives a change
/// from it and sends the change to random controllers until a response determines the outcome or six attempts have been
/// made. A fraction of the responses is discarded to simulate lost responses. Every call is recorded, so that the
/// history can be checked for linearizability afterwards.
#pragma once
#include <random>

#include "fleet.hpp"
#include "simulation/linearizability.hpp"
namespace zinccleat::simulation {
/// The configuration of a trial as JSON.
/// @param subscriber label of an additional subscriber that no client uses; makes the change identifiable.
std::string trialConfiguration(std::int64_t version, const std::string& subscriber);

class TrialOperators {
 public:
  /// The referenced objects must stay valid until the event loop has stopped.
  TrialOperators(const LocalFleet& fleet, std::mt19937_64& random) : fleet_(fleet), random_(random) {}
  /// Sends the first configuration to the controllers in turn until a response determines the outcome. Must run on a
  /// fiber.
  /// @return false if 100 attempts received no such response.
  bool installInitialConfiguration();
  /// Starts `operators` operators, each on a fiber of its own.
  void start(int operators);
  /// Makes each operator end after its current call.
  void stop() { stopped_ = true; }
  /// Number of operators that have not ended yet.
  int running() const { return running_; }
  const std::vector<OperatorCall>& history() const { return recorder_.calls(); }

 private:
  struct Change {
    std::int64_t base = 0, version = 0;
    std::string configuration;
  };
  void run(const std::string& name);
  /// @return true if a response with status 200, 400 or 412 was received and not discarded.
  bool sendChange(const std::string& name, std::size_t controller, const Change& change);
  std::optional<std::int64_t> readVersion(const std::string& name, std::size_t controller);
  /// Decides at random whether to discard a response.
  bool shouldDropAnswer();

  const LocalFleet& fleet_;
  std::mt19937_64& random_;
  OperatorRecorder recorder_;
  int running_ = 0;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
