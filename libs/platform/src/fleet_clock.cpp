#include "platform/fleet_clock.hpp"

namespace zinccleat::platform {
namespace {
constexpr auto kSampleMaxAge = 10s;
constexpr auto kEstimateInterval = 200ms;
// All machines in contact have reported by then; the first few samples may all be wrong.
constexpr auto kMinSamplingTime = 1000ms;
}  // namespace

void FleetClock::record(const std::string& machine, FleetTime timeOfDay, TimePoint now) {
  if (samples_.empty())
    firstSampleAt_ = now;
  samples_[machine] = {timeOfDay.time_since_epoch() - toDuration(now.time_since_epoch()), now};
}
std::optional<FleetTime> FleetClock::timeAt(TimePoint now) {
  if (!offset_ || now - estimatedAt_ >= kEstimateInterval)
    estimate(now);
  return lastEstimateAt(now);
}
std::optional<FleetTime> FleetClock::lastEstimateAt(TimePoint now) const {
  if (!offset_)
    return std::nullopt;
  return FleetTime(toDuration(now.time_since_epoch()) + *offset_);
}
void FleetClock::estimate(TimePoint now) {
  std::erase_if(samples_, [now](const auto& sample) { return now - sample.second.receivedAt > kSampleMaxAge; });
  if (samples_.empty() || now - firstSampleAt_ < kMinSamplingTime)
    return;  // the last estimate is extrapolated with the steady clock
  std::vector<Duration> offsets;
  offsets.reserve(samples_.size());
  for (const auto& [machine, sample] : samples_)
    offsets.push_back(sample.offset);
  const auto middle = offsets.begin() + static_cast<std::ptrdiff_t>(offsets.size() / 2);
  std::nth_element(offsets.begin(), middle, offsets.end());
  offset_ = *middle;
  estimatedAt_ = now;
}
}  // namespace zinccleat::platform
