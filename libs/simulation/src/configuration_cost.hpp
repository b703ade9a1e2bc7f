/// Times what one change of a plan's configuration costs a process.
#pragma once
#include "scale_run_report.hpp"
namespace zinccleat::simulation {
/// Parses the plan's configuration, and computes and applies the delta of a change of one access key, ten times each.
/// @param keyNumbers as of `planConfiguration`.
ConfigurationCost measureConfigurationCost(const ScaleRunPlan& plan, std::vector<int> keyNumbers);
}  // namespace zinccleat::simulation
