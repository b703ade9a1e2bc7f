#include "platform_client.hpp"

#include "operations/call.hpp"
#include "runtime/event_loop.hpp"
#include "runtime/log_ring.hpp"

namespace zinccleat::controller {
namespace {
constexpr std::size_t kMaxAnswerBytes = std::size_t{1} << 20;  // of which only the status is read
constexpr auto kCallTimeout = 2000ms;
constexpr int kHttpOk = 200;
constexpr int kFirstRedirection = 300;
constexpr int kRequestTimeout = 408;
constexpr int kConflict = 409;
constexpr int kTooManyRequests = 429;
constexpr int kFirstClientError = 400;
constexpr int kFirstServerError = 500;

platform::CallOutcome outcomeOf(int status) {
  if (status >= kHttpOk && status < kFirstRedirection)
    return platform::CallOutcome::accepted;
  if (status == kConflict)
    return platform::CallOutcome::staleFence;
  if (status == kTooManyRequests)
    return platform::CallOutcome::rateLimited;
  const bool isInvalid = status >= kFirstClientError && status < kFirstServerError && status != kRequestTimeout;
  return isInvalid ? platform::CallOutcome::invalid : platform::CallOutcome::unanswered;
}
}  // namespace

PlatformClient::PlatformClient(const ControllerContext& context)
    : context_(context),
      schedule_(context.settings.platform ? context.settings.platform->functionCallsPerS : 0,
                context.settings.timers.lease) {}
bool PlatformClient::mayCall(const std::string& subject, TimePoint now) const {
  return context_.raft->hasLease(now) && schedule_.mayCall(subject, now);
}
void PlatformClient::call(Call call, std::function<void(platform::CallOutcome)> ended) {
  const auto term = schedule_.term();
  schedule_.started(call.subject, Clock::now());
  runtime::EventLoop::get().spawn([this, term, call = std::move(call), ended = std::move(ended)] {
    const auto outcome = exchange(call);
    schedule_.ended(call.subject, term, outcome, Clock::now());
    if (term == schedule_.term())
      ended(outcome);
  });
}
platform::CallOutcome PlatformClient::exchange(const Call& call) const {
  const auto term = context_.raft->term();
  operations::Call request{"POST", call.path, call.body, {}};
  request.headers = {{"X-Function-Holder", context_.settings.node}, {"X-Fence-Number", std::to_string(term)}};
  // Checked again after the connection is established, because the process may have been suspended in the meantime.
  request.mayStillSend = [this, term] {
    return context_.raft->term() == term && context_.raft->hasLease(Clock::now());
  };
  request.maxAnswerBytes = kMaxAnswerBytes;
  const auto answer = operations::callOne(context_.settings.platform->address, request, kCallTimeout);
  if (!answer) {
    log::debug("platform_call_unanswered", {{"path", call.path}, {"reason", answer.error().message}});
    return platform::CallOutcome::unanswered;
  }
  const auto outcome = outcomeOf(answer->status);
  if (outcome == platform::CallOutcome::invalid)
    log::error("platform_call_invalid", {{"path", call.path}, {"status", answer->status}});
  else if (outcome != platform::CallOutcome::accepted)
    log::debug("platform_call_refused", {{"path", call.path}, {"status", answer->status}});
  return outcome;
}
}  // namespace zinccleat::controller
