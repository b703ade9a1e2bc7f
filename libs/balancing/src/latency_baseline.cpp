#include "balancing/latency_baseline.hpp"

#include <cmath>

namespace zinccleat::balancing {
namespace {
constexpr int kMinSamples = 6;  // fewer samples are not enough for a threshold
// A slow latency exceeds both `kSlowFactor` times the mean plus `kMinSlowMs`, and the mean plus `kSlowDeviations` mean
// deviations. The deviations count because short prompts queue behind long ones.
constexpr double kSlowFactor = 3;
constexpr double kSlowDeviations = 5;
constexpr double kMinSlowMs = 40;          // a latency less than 40 ms above the mean is never slow
constexpr double kSmoothing = 0.06;        // weight of a new sample
constexpr double kInitialSmoothing = 0.3;  // weight of each of the first `kMinSamples` samples
}  // namespace

Duration LatencyBaseline::slowThreshold() const {
  if (samples_ < kMinSamples)
    return Duration::max();
  const double threshold = std::max(meanMs_ * kSlowFactor + kMinSlowMs, meanMs_ + kSlowDeviations * deviationMs_);
  return Duration(static_cast<std::int64_t>(threshold));
}

void LatencyBaseline::add(double latencyMs) {
  if (samples_++ == 0) {
    meanMs_ = latencyMs;
    return;
  }
  // The sample is clamped so that the samples of one hanging runner do not raise the baseline to its latency.
  const double difference = std::min(latencyMs, meanMs_ * kSlowFactor + kMinSlowMs) - meanMs_;
  const double weight = samples_ < kMinSamples ? kInitialSmoothing : kSmoothing;
  meanMs_ += difference * weight;
  deviationMs_ += (std::abs(difference) - deviationMs_) * weight;
}
}  // namespace zinccleat::balancing
