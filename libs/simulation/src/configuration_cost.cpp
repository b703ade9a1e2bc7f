#include "configuration_cost.hpp"

#include "config/configuration.hpp"
#include "state_machine/delta.hpp"

namespace zinccleat::simulation {
namespace {
// Mean milliseconds of one call.
template <class Function>
double meanMsOf(const Function& function) {
  constexpr int kRepetitions = 10;
  const auto begin = Clock::now();
  for (int i = 0; i < kRepetitions; ++i)
    function();
  return std::chrono::duration<double, std::milli>(Clock::now() - begin).count() / kRepetitions;
}
}  // namespace

ConfigurationCost measureConfigurationCost(const ScaleRunPlan& plan, std::vector<int> keyNumbers) {
  const auto before = planConfiguration(plan, 1, keyNumbers);
  ++keyNumbers[keyNumbers.size() / 2];
  const auto after = planConfiguration(plan, 2, keyNumbers);
  const auto beforeDigest = digestOf(before);
  const auto afterDigest = digestOf(after);
  std::string delta;

  ConfigurationCost cost;
  cost.parseMs = meanMsOf(
      [&] { checkInvariant(config::parseConfiguration(before).has_value(), "the plan's own configuration is valid"); });
  cost.computeDeltaMs =
      meanMsOf([&] { delta = state_machine::computeDelta(before, beforeDigest, after, afterDigest); });
  cost.applyDeltaMs = meanMsOf([&] {
    checkInvariant(state_machine::applyDelta(before, beforeDigest, delta).has_value(), "a computed delta applies");
  });
  cost.bytes = before.size();
  cost.deltaBytes = delta.size();
  return cost;
}
}  // namespace zinccleat::simulation
