/// Requests of random tenants at random hollow nodes, as a Poisson process.
#pragma once
#include "hollow_node.hpp"
#include "simulation/plan.hpp"
namespace zinccleat::simulation {
class RequestLoad {
 public:
  /// All parameters must outlive the event loop's last turn.
  RequestLoad(const ScaleRunPlan& plan, const HollowNodes& nodes, std::mt19937_64& random)
      : plan_(plan), nodes_(nodes), random_(random) {}
  /// Starts the fiber that makes `ScaleRunPlan::requestsPerS` requests a second.
  void start();
  void stop() { stopped_ = true; }

 private:
  void run(TimePoint begin);
  void makeRequest();

  const ScaleRunPlan& plan_;
  const HollowNodes& nodes_;
  std::mt19937_64& random_;
  bool stopped_ = false;
};
}  // namespace zinccleat::simulation
