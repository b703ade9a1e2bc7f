#include "balancing/latency_baseline.hpp"

#include <cmath>

namespace zinccleat::balancing {
namespace {
constexpr int kMinSamples = 6;             // fewer responses are no evidence
constexpr double kSlowFactor = 3;          // slow is over this many times the mean, and
constexpr double kSlowDeviations = 5;      // over this many deviations above it: short prompts queue behind long ones
constexpr double kMinSlowMs = 40;          // nothing this close to the mean is slow
constexpr double kSmoothing = 0.06;        // weight of a new sample
constexpr double kInitialSmoothing = 0.3;  // weight of each of the first samples
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
  // Bounded, so that one runner that hangs does not make hanging usual.
  const double difference = std::min(latencyMs, meanMs_ * kSlowFactor + kMinSlowMs) - meanMs_;
  const double weight = samples_ < kMinSamples ? kInitialSmoothing : kSmoothing;
  meanMs_ += difference * weight;
  deviationMs_ += (std::abs(difference) - deviationMs_) * weight;
}
}  // namespace zinccleat::balancing
