#include "balancing/stream_pace.hpp"

namespace zinccleat::balancing {
namespace {
constexpr int kMinEvents = 2;  // events after the first bytes that a pace needs
// Events after the first bytes that the pace of an open stream needs. The engine may prefill another prompt meanwhile,
// which delays a few events.
constexpr int kMinEventsWhileOpen = 5;
constexpr double kNominalEvents = 10;
}  // namespace

void StreamPace::recordBytes(std::string_view bytes, TimePoint now) {
  if (!firstArrival_) {
    firstArrival_ = newestArrival_ = now;
    endsInLineFeed_ = bytes.ends_with('\n');
    return;
  }
  // An empty line ends an event.
  for (const char letter : bytes) {
    const bool isLineFeed = letter == '\n';
    completeEvents_ += isLineFeed && endsInLineFeed_ ? 1 : 0;
    endsInLineFeed_ = isLineFeed && !endsInLineFeed_;
  }
  newestArrival_ = now;
}
std::optional<double> StreamPace::msPerTenEvents() const {
  if (!firstArrival_ || completeEvents_ < kMinEvents)
    return std::nullopt;
  const auto duration = std::chrono::duration<double, std::milli>(newestArrival_ - *firstArrival_).count();
  return duration * kNominalEvents / completeEvents_;
}
bool StreamPaceBaselines::recordStream(const std::string& service, const StreamPace& pace) {
  const auto sample = pace.msPerTenEvents();
  if (!sample)
    return false;
  auto& baseline = baselines_[service];
  const bool slow = *sample > static_cast<double>(baseline.slowThreshold().count());
  baseline.add(*sample);
  return slow;
}
bool StreamPaceBaselines::isSlowWhileOpen(const std::string& service, const StreamPace& pace) const {
  const auto sample = pace.msPerTenEvents();
  const auto baseline = baselines_.find(service);
  return sample && pace.eventsAfterFirst() >= kMinEventsWhileOpen && baseline != baselines_.end() &&
         *sample > static_cast<double>(baseline->second.slowThreshold().count());
}
}  // namespace zinccleat::balancing
