#include "replicated_counters/disk_time.hpp"

namespace zinccleat::replicated_counters {
namespace {
constexpr std::size_t kMaxPendingWrites = 256;  // enough to know the age of the oldest and the time of most
}  // namespace

void DiskTime::begin(TimePoint now, std::int64_t sequence) {
  lastBeginAt_ = now;
  if (pendingWrites_.size() < kMaxPendingWrites)
    pendingWrites_.push_back({sequence, now});
}
// A disk is believed to be slow after a few measurements, and to be fast again after one or two.
void DiskTime::end(TimePoint now, std::int64_t sequence) {
  if (pendingWrites_.empty() || pendingWrites_.front().sequence > sequence)
    return;
  const auto longest = toDuration(now - pendingWrites_.front().since);
  while (!pendingWrites_.empty() && pendingWrites_.front().sequence <= sequence)
    pendingWrites_.pop_front();
  smoothedTime_ = longest > smoothedTime_ ? (smoothedTime_ + longest) / 2 : (smoothedTime_ + 3 * longest) / 4;
}
Duration DiskTime::expected(TimePoint now) const {
  if (pendingWrites_.empty())
    return smoothedTime_;
  return std::max(smoothedTime_, toDuration(now - pendingWrites_.front().since));
}
}  // namespace zinccleat::replicated_counters
