#include "rollout/runner_outliers.hpp"

#include <cmath>
#include <numeric>

namespace zinccleat::rollout {
namespace {
constexpr std::size_t kRunnersPerOutlier = 3;  // at most one runner in three may be an outlier, rounded down
constexpr double kMinLogLikelihoodGain = 3;    // in excess of the logarithm of the number of possible groups

double rateOf(const BadCount& count) {
  return count.total > 0 ? count.bad / count.total : 0;
}
// The log likelihood of the counts at their maximum likelihood rate.
double logLikelihood(const BadCount& count) {
  const double good = count.total - count.bad;
  const auto term = [&](double number) { return number > 0 ? number * std::log(number / count.total) : 0; };
  return term(count.bad) + term(good);
}
double logChoices(std::size_t all, std::size_t chosen) {
  const auto logFactorial = [](std::size_t number) { return std::lgamma(static_cast<double>(number) + 1); };
  return logFactorial(all) - logFactorial(chosen) - logFactorial(all - chosen);
}
}  // namespace

std::vector<std::size_t> findOutliers(const std::vector<BadCount>& runners) {
  std::vector<std::size_t> order(runners.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(),
            [&](std::size_t one, std::size_t other) { return rateOf(runners[one]) > rateOf(runners[other]); });
  BadCount all;
  for (const auto& runner : runners)
    all += runner;
  const double commonRateLikelihood = logLikelihood(all);
  BadCount worst;
  double bestGain = kMinLogLikelihoodGain;
  std::size_t outliers = 0;
  for (std::size_t count = 1; count <= runners.size() / kRunnersPerOutlier; ++count) {
    worst += runners[order[count - 1]];
    const BadCount rest{all.bad - worst.bad, all.total - worst.total};
    const double gain =
        logLikelihood(worst) + logLikelihood(rest) - commonRateLikelihood - logChoices(runners.size(), count);
    if (gain <= bestGain)
      continue;
    bestGain = gain;
    outliers = count;
  }
  order.resize(outliers);
  return order;
}
}  // namespace zinccleat::rollout
