#include "platform/usage_recorder.hpp"

namespace zinccleat::platform {
namespace {
constexpr std::size_t kMaxBatches = 256;          // kept for a new leader
constexpr std::size_t kMaxCountsPerReport = 400;  // the remaining counts are sent with the next report
constexpr auto kMaxRoundTrip = 200ms;             // an answer that took longer is too imprecise to set the offset
constexpr auto kFleetTimeTimeout = 10s;           // after this time the offset is taken from this machine's own clock
constexpr std::size_t kMaxUncountedRequests = 2000;  // requests that are kept until the offset is known
}  // namespace

// The current window never moves back by one. Otherwise a clock correction could reopen a window that was already
// declared complete.
std::int64_t UsageRecorder::windowAt(TimePoint moment) {
  const auto window =
      windowOf(FleetTime(toDuration(moment.time_since_epoch()) + offset_.value_or(Duration(0))), windowLength_);
  if (window != currentWindow_ - 1)
    currentWindow_ = window;
  return currentWindow_;
}
void UsageRecorder::recordRequest(const std::string& tenant, TimePoint began) {
  if (!counts() || tenant.empty())
    return;
  if (offset_)
    return count(tenant, began);
  if (uncountedRequests_.size() < kMaxUncountedRequests)
    uncountedRequests_.emplace_back(tenant, began);
  else
    ++dropped_;
}
void UsageRecorder::count(const std::string& tenant, TimePoint began) {
  ++openCounts_[{windowAt(began), tenant}];
}
void UsageRecorder::setOffset(Duration offset) {
  offset_ = offset;
  for (const auto& [tenant, began] : std::exchange(uncountedRequests_, {}))
    count(tenant, began);
}
void UsageRecorder::closeBatch(TimePoint now) {
  lastBatchAt_ = now;
  const auto complete = windowAt(now) - 1;
  if (openCounts_.empty() && complete <= completeThrough_)
    return;
  transport::UsageBatch batch;
  batch.number = nextNumber_++;
  batch.completeThrough = completeThrough_ = std::max(complete, completeThrough_);
  for (const auto& [key, requests] : openCounts_)
    batch.counts.push_back({key.first, key.second, requests});
  openCounts_.clear();
  batches_.push_back(std::move(batch));
  if (batches_.size() <= kMaxBatches)
    return;
  for (const auto& count : batches_.front().counts)
    dropped_ += batches_.front().number > received_ ? static_cast<std::uint64_t>(count.requests) : 0;
  batches_.pop_front();
}
void UsageRecorder::fill(transport::PlatformReport& report, FleetTime timeOfDay, TimePoint now, bool isLast) {
  if (!enabled())
    return;
  if (firstFillAt_ == TimePoint{})
    firstFillAt_ = now;
  if (!offset_ && now - firstFillAt_ >= kFleetTimeTimeout)
    setOffset(timeOfDay.time_since_epoch() - toDuration(now.time_since_epoch()));
  report.incarnation = incarnation_;
  report.timeOfDayMs = timeOfDay.time_since_epoch().count();
  if (!counts())
    return;
  if (!offset_)
    return;
  if (isLast || now - lastBatchAt_ >= kBatchInterval)
    closeBatch(now);
  report.firstBatch = batches_.empty() ? nextNumber_ : batches_.front().number;
  std::size_t counts = 0;
  for (const auto& batch : batches_) {
    if (batch.number <= received_)
      continue;
    counts += batch.counts.size();
    if (counts > kMaxCountsPerReport && !report.batches.empty())
      break;
    report.batches.push_back(batch);
  }
}
void UsageRecorder::accept(const transport::PlatformReportAnswer& answer, TimePoint requestedAt, TimePoint now) {
  if (!enabled() || answer.empty())
    return;
  if (answer.fleetTimeMs > 0 && (now - requestedAt < kMaxRoundTrip || !hasFleetOffset_)) {
    const auto answeredAt = requestedAt + (now - requestedAt) / 2;
    hasFleetOffset_ = true;
    setOffset(Duration(answer.fleetTimeMs) - toDuration(answeredAt.time_since_epoch()));
  }
  received_ = answer.receivedBatch;
  dropReported(answer.reportedThrough);
}
void UsageRecorder::dropReported(std::int64_t reportedThrough) {
  const auto isReported = [reportedThrough](const transport::UsageBatch& batch) {
    return batch.completeThrough <= reportedThrough &&
           std::all_of(batch.counts.begin(), batch.counts.end(),
                       [&](const transport::UsageCount& count) { return count.window <= reportedThrough; });
  };
  while (!batches_.empty() && isReported(batches_.front()))
    batches_.pop_front();
}
}  // namespace zinccleat::platform
