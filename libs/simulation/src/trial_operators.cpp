#include "trial_operators.hpp"

#include "config/configuration.hpp"
#include "control_calls.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::simulation {
namespace {
constexpr int kInstallAttempts = 100;
constexpr int kChangeAttempts = 6;
constexpr auto kRetryInterval = 100ms;
constexpr auto kReplaceTimeout = 2000ms;
constexpr auto kRetrieveTimeout = 1000ms;
constexpr std::uint64_t kMinPauseMs = 50;
constexpr std::uint64_t kPauseSpreadMs = 200;
constexpr std::uint64_t kMaxVersionStep = 2;
constexpr std::uint64_t kLostAnswerDivisor = 4;  // one of so many responses is discarded
constexpr int kOk = 200;
constexpr int kInvalid = 400;
constexpr int kOtherVersion = 412;

std::int64_t nowMicroseconds() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}
bool isConclusive(const operations::CallResponse& answer) {
  return answer.status == kOk || answer.status == kInvalid || answer.status == kOtherVersion;
}
}  // namespace

std::string trialConfiguration(std::int64_t version, const std::string& subscriber) {
  return R"({"configVersion":)" + std::to_string(version) + R"(,"routeTable":[
         {"label":"push","authority":"trial.example","pathPrefix":"/push/","routeType":"unsafe","expiryMs":3000,"targetLatencyMs":300,"targetService":"gateway","maxAttempts":2},
         {"label":"recap","authority":"trial.example","pathPrefix":"/recap/","routeType":"stream","streamResume":true,"expiryMs":3000,"targetLatencyMs":600,"targetService":"models","maxAttempts":2}],
         "serviceTable":[{"label":"gateway"},{"label":"models"}],"subscribers":[{"label":"newcomer","accessKeys":["trial-key"]},
         {"label":")" +
         subscriber + R"(","accessKeys":["key-of-)" + subscriber + R"("]}]})";
}
bool TrialOperators::installInitialConfiguration() {
  const Change first{0, 1, trialConfiguration(1, "first")};
  for (std::size_t attempt = 0; attempt < kInstallAttempts; ++attempt) {
    if (sendChange("first", attempt, first))
      return true;
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return false;
}
void TrialOperators::start(int operators) {
  for (int number = 0; number < operators; ++number)
    runtime::EventLoop::get().spawn([this, number] { run("operator-" + std::to_string(number)); });
}
void TrialOperators::run(const std::string& name) {
  ++running_;
  for (int number = 0; !stopped_; ++number) {
    runtime::EventLoop::get().sleepFor(Duration(kMinPauseMs + random_() % kPauseSpreadMs));
    const auto base = readVersion(name, random_());
    if (!base)
      continue;
    const auto version = *base + 1 + static_cast<std::int64_t>(random_() % kMaxVersionStep);
    const Change change{*base, version, trialConfiguration(version, name + "-" + std::to_string(number))};
    for (int attempt = 0; attempt < kChangeAttempts && !stopped_ && !sendChange(name, random_(), change); ++attempt)
      runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  --running_;
}
bool TrialOperators::sendChange(const std::string& name, std::size_t controller, const Change& change) {
  const auto call = recorder_.replaceSent(name, nowMicroseconds(), change.base, change.version, change.configuration);
  const auto answer =
      operations::callOne(fleet_.control(controller), replaceCall(change.configuration, change.base), kReplaceTimeout);
  if (!answer || shouldDropAnswer())
    return false;
  recorder_.replaceAnswered(call, nowMicroseconds(), answer->status);
  return isConclusive(*answer);
}
std::optional<std::int64_t> TrialOperators::readVersion(const std::string& name, std::size_t controller) {
  const auto call = recorder_.retrieveSent(name, nowMicroseconds());
  const auto answer = operations::callOne(fleet_.control(controller), retrieveCall(), kRetrieveTimeout);
  if (!isAcknowledged(answer) || shouldDropAnswer())
    return std::nullopt;
  const auto configuration = config::parseConfiguration(answer->body);
  if (!configuration)
    return std::nullopt;
  const auto version = (*configuration)->version;
  recorder_.retrieveAnswered(call, nowMicroseconds(), version, answer->body);
  return version;
}
bool TrialOperators::shouldDropAnswer() {
  return random_() % kLostAnswerDivisor == 0;
}
}  // namespace zinccleat::simulation
