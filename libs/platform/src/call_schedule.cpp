#include "platform/call_schedule.hpp"

namespace zinccleat::platform {
namespace {
constexpr Duration kInitialBackoff{300};
constexpr int kMaxBackoffDoublings = 3;
constexpr auto kLateExecutionAllowance = 5000ms;  // additional wait after the lease if the last call got no answer
constexpr double kRateShare = 0.5;  // share of the platform's rate to use; the previous holder may have used as much
constexpr double kBurstCalls = 4;   // maximum number of calls in a burst
}  // namespace

void CallSchedule::startTerm(TimePoint now) {
  ++term_;
  subjects_.clear();
  if (lastCallAt_ != TimePoint{})
    callsAllowedFrom_ = lastCallAt_ + lease_ + (lastCallIsUnanswered_ ? kLateExecutionAllowance : Duration(0));
  refilledAt_ = now;
}
bool CallSchedule::mayCall(const std::string& subject, TimePoint now) const {
  if (now < callsAllowedFrom_)
    return false;
  const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
  if (callsPerS_ > 0 && tokens_ + elapsed * callsPerS_ * kRateShare < 1)
    return false;
  const auto known = subjects_.find(subject);
  if (known == subjects_.end())
    return true;
  return !known->second.inFlight && !known->second.staleFence && now >= known->second.nextAt;
}
void CallSchedule::refill(TimePoint now) {
  const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
  tokens_ = std::min(kBurstCalls, tokens_ + elapsed * callsPerS_ * kRateShare);
  refilledAt_ = now;
}
void CallSchedule::started(const std::string& subject, TimePoint now) {
  refill(now);
  tokens_ -= 1;
  auto& known = subjects_[subject];
  known.inFlight = true;
  known.startedAt = now;
  lastCallAt_ = now;
  lastCallIsUnanswered_ = true;  // until the answer arrives
}
void CallSchedule::ended(const std::string& subject, std::int64_t startedInTerm, CallOutcome outcome, TimePoint now) {
  lastCallIsUnanswered_ = outcome == CallOutcome::unanswered;
  if (startedInTerm != term_)
    return;
  auto& known = subjects_[subject];
  known.inFlight = false;
  known.staleFence = known.staleFence || outcome == CallOutcome::staleFence;
  if (outcome == CallOutcome::unanswered)
    known.unansweredAt = known.startedAt;
  if (outcome == CallOutcome::accepted || outcome == CallOutcome::invalid) {
    known.failures = 0;
    return;
  }
  known.nextAt = now + kInitialBackoff * (1 << std::min(known.failures, kMaxBackoffDoublings));
  ++known.failures;
}
std::optional<TimePoint> CallSchedule::unansweredAt(const std::string& subject) const {
  const auto known = subjects_.find(subject);
  return known == subjects_.end() ? std::nullopt : known->second.unansweredAt;
}
}  // namespace zinccleat::platform
