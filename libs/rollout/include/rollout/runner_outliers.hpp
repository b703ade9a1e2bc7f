/// @file
/// Which runners of a candidate have a fault of their own. Pure.
///
/// The runners with the highest rates of bad answers are outliers if two groups of runners, each with a rate of its
/// own, explain the counts so much better than one rate for all that the choice of just these runners does not explain
/// it: the gain in log likelihood must exceed the logarithm of the number of groups of that size (a scan statistic;
/// Kulldorff, "A spatial scan statistic", 1997). Leaving out the worst runners without such a test would hide a fault
/// that all runners have, where each has few answers.
#pragma once
#include "rollout/sequential_test.hpp"
namespace zinccleat::rollout {
/// The indexes of the outliers, at most a third of all runners; none if one rate explains the counts.
/// @param runners bad answers and answers of each.
std::vector<std::size_t> findOutliers(const std::vector<BadCount>& runners);
}  // namespace zinccleat::rollout
