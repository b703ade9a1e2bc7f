#include "balancing/runner_observer.hpp"

#include <bit>
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

Duration RunnerObserver::LatencyBucket::slowThreshold() const {
  if (samples < kMinSamples)
    return Duration::max();
  const double threshold = std::max(meanMs * kSlowFactor + kMinSlowMs, meanMs + kSlowDeviations * deviationMs);
  return Duration(static_cast<std::int64_t>(threshold));
}

void RunnerObserver::LatencyBucket::add(double latencyMs) {
  if (samples++ == 0) {
    meanMs = latencyMs;
    return;
  }
  // Bounded, so that one runner that hangs does not make hanging usual.
  const double difference = std::min(latencyMs, meanMs * kSlowFactor + kMinSlowMs) - meanMs;
  const double weight = samples < kMinSamples ? kInitialSmoothing : kSmoothing;
  meanMs += difference * weight;
  deviationMs += (std::abs(difference) - deviationMs) * weight;
}

std::size_t RunnerObserver::bucketIndex(std::int64_t promptTokens) {
  const auto width = std::bit_width(static_cast<std::uint64_t>(std::max<std::int64_t>(0, promptTokens)));
  return std::min(kBuckets - 1, static_cast<std::size_t>(width));
}

Duration RunnerObserver::slowThreshold(const std::string& service, std::int64_t promptTokens) const {
  const auto it = latencies_.find(service);
  return it == latencies_.end() ? Duration::max() : it->second[bucketIndex(promptTokens)].slowThreshold();
}

bool RunnerObserver::recordResponse(const std::string& runner, const std::string& service, std::int64_t promptTokens,
                                    Duration latency, bool countedSlow) {
  auto& bucket = latencies_[service][bucketIndex(promptTokens)];
  const bool slow = latency > bucket.slowThreshold();
  bucket.add(static_cast<double>(latency.count()));
  if (countedSlow)
    return !slow;
  if (slow)
    recordSlow(runner);
  else
    attempts_[runner].succeeded += 1;
  return !slow;
}

std::vector<transport::RunnerAttempts> RunnerObserver::takeReport(std::size_t maxRunners) {
  std::vector<transport::RunnerAttempts> report;
  for (const auto& [runner, counts] : attempts_)
    report.push_back({runner, counts.succeeded, counts.failed});
  attempts_.clear();
  std::sort(report.begin(), report.end(),
            [](const auto& left, const auto& right) { return left.failed > right.failed; });
  if (report.size() > maxRunners)
    report.resize(maxRunners);
  return report;
}
}  // namespace zinccleat::balancing
