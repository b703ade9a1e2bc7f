/// @file
/// Finds the runners of a candidate that have a fault of their own. Pure function.
///
/// The runners with the highest rates of bad answers are outliers if a model with two groups of runners, each with its
/// own rate, fits the counts significantly better than a model with one rate for all runners. Because the group is
/// selected by its rates, the gain in log likelihood must exceed the logarithm of the number of groups of that size (a
/// scan statistic; Kulldorff, "A spatial scan statistic", 1997). Excluding the worst runners without such a test would
/// hide a fault that all runners have when each runner has few answers.
#pragma once
#include "rollout/sequential_test.hpp"
namespace zinccleat::rollout {
/// The indexes of the outliers, at most a third of all runners; empty if one rate fits the counts of all runners.
/// @param runners bad answers and all answers of each runner.
std::vector<std::size_t> findOutliers(const std::vector<BadCount>& runners);
}  // namespace zinccleat::rollout
