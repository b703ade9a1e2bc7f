#include "balancing/runner_observer.hpp"

#include <bit>

namespace zinccleat::balancing {
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
