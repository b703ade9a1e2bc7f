#include "replicated_counters/disk_time.hpp"

namespace zinccleat::replicated_counters {
namespace {
// Enough to know the age of the oldest write and the time of most writes.
constexpr std::size_t kMaxPendingWrites = 256;
}  // namespace

void DiskTime::begin(TimePoint now, std::int64_t sequence) {
  lastBeginAt_ = now;
  if (pendingWrites_.size() < kMaxPendingWrites)
    pendingWrites_.push_back({sequence, now});
}
// Longer times are averaged in slowly and shorter times quickly: a disk is considered slow after a few slow writes, and
// fast again after one or two fast writes.
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
