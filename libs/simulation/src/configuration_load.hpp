/// The operator of a scale run: installs the plan's configuration and then changes one access key at a time, and
/// measures how long each change takes until every hollow node has it.
#pragma once
#include "control_calls.hpp"
#include "hollow_node.hpp"
#include "simulation/plan.hpp"
namespace zinccleat::simulation {
class ConfigurationLoad {
 public:
  /// All parameters must outlive the event loop's last turn.
  ConfigurationLoad(const ScaleRunPlan& plan, const LocalFleet& fleet, const HollowNodes& nodes,
                    std::mt19937_64& random);
  /// Sends version 1 until it is acknowledged. @return false if it was not within the time given.
  bool installFirst(Duration within);
  /// Starts the fiber that makes `ScaleRunPlan::changesPerMinute` changes a minute.
  void start();
  void stop() { stopped_ = true; }
  /// The version that every node should have by now.
  std::int64_t version() const { return version_; }
  const AcknowledgementCounts& changes() const { return changes_; }
  /// For each change and node: milliseconds from the acknowledgement until the node had it. A node that had it before
  /// the acknowledgement came counts as 0 or a little above, one that did not get it in time as 13000.
  const std::vector<double>& inForceMs() const { return inForceMs_; }
  /// The number that is part of each tenant's second access key.
  const std::vector<int>& keyNumbers() const { return keyNumbers_; }

 private:
  bool replace(std::int64_t version, Duration within);
  void changeOneKey();
  void measureInForce(std::int64_t version, TimePoint acknowledgedAt);

  const ScaleRunPlan& plan_;
  const LocalFleet& fleet_;
  const HollowNodes& nodes_;
  std::mt19937_64& random_;
  std::vector<int> keyNumbers_;
  std::int64_t version_ = 0, acknowledgedVersion_ = 0;
  TimePoint acknowledgedAt_{};
  AcknowledgementCounts changes_;
  std::vector<double> inForceMs_;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
