#include "replicated_counters/disk_time.hpp"

namespace zinccleat::replicated_counters {
namespace {
constexpr std::size_t kMaxUnderWay = 256;  // enough to know the age of the oldest and the time of most
}  // namespace

void DiskTime::begin(TimePoint now, std::int64_t sequence) {
  lastBegunAt_ = now;
  if (underWay_.size() < kMaxUnderWay)
    underWay_.push_back({sequence, now});
}
// A disk is believed to be slow after a few measurements, and to be fast again after one or two.
void DiskTime::end(TimePoint now, std::int64_t sequence) {
  if (underWay_.empty() || underWay_.front().sequence > sequence)
    return;
  const auto longest = toDuration(now - underWay_.front().since);
  while (!underWay_.empty() && underWay_.front().sequence <= sequence)
    underWay_.pop_front();
  smoothed_ = longest > smoothed_ ? (smoothed_ + longest) / 2 : (smoothed_ + 3 * longest) / 4;
}
Duration DiskTime::expected(TimePoint now) const {
  if (underWay_.empty())
    return smoothed_;
  return std::max(smoothed_, toDuration(now - underWay_.front().since));
}
}  // namespace zinccleat::replicated_counters
