#include "rollout/sequential_test.hpp"

#include <array>
#include <cmath>

namespace zinccleat::rollout {
namespace {
constexpr double kConfidenceDeviations = 2;  // standard deviations of the upper confidence bound of the baseline's rate
constexpr double kMaxSoundRate = 0.85;       // a baseline with a higher rate is no basis for a comparison
constexpr double kMaxRate = 0.98;
// Alternative rates of bad answers; the mixture weights them equally.
constexpr std::array kAlternatives{0.06, 0.1, 0.16, 0.25, 0.4, 0.55, 0.75, 0.95};
}  // namespace

// The upper bound of Wilson's score interval.
double soundRate(const BadCount& baseline, const TestOptions& options) {
  if (baseline.total <= 0)
    return options.unknownSoundRate;
  constexpr double kSquare = kConfidenceDeviations * kConfidenceDeviations;
  const double rate = std::clamp(baseline.bad / baseline.total, 0.0, 1.0);
  const double center = rate + kSquare / (2 * baseline.total);
  const double spread = kConfidenceDeviations *
                        std::sqrt(rate * (1 - rate) / baseline.total + kSquare / (4 * baseline.total * baseline.total));
  const double upper = (center + spread) / (1 + kSquare / baseline.total);
  return std::min(kMaxSoundRate, std::max(upper, options.minSoundRate) + options.tolerance);
}
double logRatio(const BadCount& candidate, double rate, double difference) {
  const double bad = std::clamp(candidate.bad, 0.0, std::max(0.0, candidate.total));
  const double good = std::max(0.0, candidate.total) - bad;
  const double higher = std::min(kMaxRate, rate + difference);
  return bad * std::log(higher / rate) + good * std::log((1 - higher) / (1 - rate));
}
double logEvidence(const BadCount& candidate, double rate) {
  double sum = 0;
  double highest = 0;
  bool any = false;
  std::array<double, kAlternatives.size()> logRatios{};
  std::size_t used = 0;
  for (const double alternative : kAlternatives) {
    if (alternative <= rate)
      continue;
    const double ratio = logRatio(candidate, rate, alternative - rate);
    highest = any ? std::max(highest, ratio) : ratio;
    any = true;
    logRatios[used++] = ratio;
  }
  if (!any)
    return 0;
  for (std::size_t i = 0; i < used; ++i)
    sum += std::exp(logRatios[i] - highest);
  return highest + std::log(sum / static_cast<double>(used));
}
}  // namespace zinccleat::rollout
