#include "platform/call_schedule.hpp"

namespace zinccleat::platform {
namespace {
constexpr Duration kFirstPause{300};
constexpr int kMaxDoublings = 3;
constexpr auto kLateExecution = 5000ms;  // beyond the lease, after a call that got no answer
constexpr double kRatePart = 0.5;        // of the platform's rate: a holder before this one may have spent as much
constexpr double kBurst = 4;             // calls at once
}  // namespace

void CallSchedule::startTerm(TimePoint now) {
  ++term_;
  subjects_.clear();
  if (lastCallAt_ != TimePoint{})
    mayCallFrom_ = lastCallAt_ + lease_ + (lastWasUnanswered_ ? kLateExecution : Duration(0));
  refilledAt_ = now;
}
bool CallSchedule::mayCall(const std::string& subject, TimePoint now) const {
  if (now < mayCallFrom_)
    return false;
  const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
  if (callsPerS_ > 0 && tokens_ + elapsed * callsPerS_ * kRatePart < 1)
    return false;
  const auto known = subjects_.find(subject);
  if (known == subjects_.end())
    return true;
  return !known->second.underWay && !known->second.staleFence && now >= known->second.nextAt;
}
void CallSchedule::refill(TimePoint now) {
  const auto elapsed = std::chrono::duration<double>(now - refilledAt_).count();
  tokens_ = std::min(kBurst, tokens_ + elapsed * callsPerS_ * kRatePart);
  refilledAt_ = now;
}
void CallSchedule::started(const std::string& subject, TimePoint now) {
  refill(now);
  tokens_ -= 1;
  auto& known = subjects_[subject];
  known.underWay = true;
  known.startedAt = now;
  lastCallAt_ = now;
  lastWasUnanswered_ = true;  // until it is answered
}
void CallSchedule::ended(const std::string& subject, std::int64_t startedInTerm, CallOutcome outcome, TimePoint now) {
  lastWasUnanswered_ = outcome == CallOutcome::unanswered;
  if (startedInTerm != term_)
    return;
  auto& known = subjects_[subject];
  known.underWay = false;
  known.staleFence = known.staleFence || outcome == CallOutcome::staleFence;
  if (outcome == CallOutcome::unanswered)
    known.unansweredAt = known.startedAt;
  if (outcome == CallOutcome::accepted || outcome == CallOutcome::invalid) {
    known.failures = 0;
    return;
  }
  known.nextAt = now + kFirstPause * (1 << std::min(known.failures, kMaxDoublings));
  ++known.failures;
}
std::optional<TimePoint> CallSchedule::unansweredAt(const std::string& subject) const {
  const auto known = subjects_.find(subject);
  return known == subjects_.end() ? std::nullopt : known->second.unansweredAt;
}
}  // namespace zinccleat::platform
