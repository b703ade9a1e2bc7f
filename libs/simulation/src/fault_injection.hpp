/// The faults of a scale run, spread evenly over the time that is measured: restarts of hollow nodes, departures of
/// runners, and leaders that are killed and started again.
#pragma once
#include "fleet.hpp"
#include "hollow_node.hpp"
#include "resource_meter.hpp"
#include "runner_load.hpp"
#include "simulation/plan.hpp"
namespace zinccleat::simulation {
class FaultInjection {
 public:
  /// What the faults act on. All must outlive the event loop's last turn.
  struct Targets {
    LocalFleet& fleet;
    const HollowNodes& nodes;
    RunnerLoad& runners;
    ResourceMeter& meter;
    std::mt19937_64& random;
  };
  explicit FaultInjection(Targets targets) : targets_(targets) {}
  /// Starts the fibers that cause the plan's faults within the time given.
  void start(const ScaleRunPlan& plan, Duration within);
  void stop() { stopped_ = true; }
  /// Of each leader killed: milliseconds until a token request was answered again at some node, 10000 at most.
  const std::vector<double>& takeOverMs() const { return takeOverMs_; }

 private:
  void spread(int times, Duration within, void (FaultInjection::*fault)());
  void restartNode();
  void requestDeparture();
  void killLeader();
  std::size_t answeredTokenRequests() const;
  void awaitTokenAnswer(std::size_t answeredBefore, TimePoint killedAt) const;

  Targets targets_;
  std::vector<double> takeOverMs_;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
