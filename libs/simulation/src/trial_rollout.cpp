#include "trial_rollout.hpp"

#include <cstdio>

#include "control_calls.hpp"
#include "operations/json_path.hpp"
#include "runtime/event_loop.hpp"

namespace zinccleat::simulation {
namespace {
constexpr const char* kService = "models";
constexpr const char* kRevision = "v2";
constexpr int kRunners = 2;
constexpr int kAttempts = 60;
constexpr auto kRetryInterval = 100ms;
constexpr auto kCallTimeout = 1000ms;
}  // namespace

bool TrialRollout::begin(Duration plannedDuration) {
  const auto call = beginRolloutCall(kService, kRevision, plannedDuration);
  bool acknowledged = false;
  for (std::size_t attempt = 0; attempt < kAttempts && !acknowledged; ++attempt) {
    acknowledged = isAcknowledged(operations::callOne(fleet_.control(attempt), call, kCallTimeout));
    if (!acknowledged)
      runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  for (int i = 0; i < kRunners && acknowledged; ++i) {
    runners_.push_back(std::make_shared<TrialRunner>(fleet_, "new-runner-" + std::to_string(i + 1), kService,
                                                     executions_, random_, TrialVersion{kRevision, true}));
    runners_.back()->start();
  }
  return acknowledged;
}
std::string TrialRollout::retrieve() {
  const auto answer = operations::callOne(fleet_.control(random_()), retrieveRolloutCall(kService), kCallTimeout);
  if (!isAcknowledged(answer))
    return {};
  report_ = answer->body;
  return operations::fieldOf(report_, "state").value_or("");
}
bool TrialRollout::awaitReversal(Duration timeout) {
  const auto deadline = Clock::now() + timeout;
  for (auto state = retrieve(); Clock::now() < deadline; state = retrieve()) {
    if (state == "reverted" || state == "completed")
      return state == "reverted";
    runtime::EventLoop::get().sleepFor(kRetryInterval);
  }
  return false;
}
void TrialRollout::report() const {
  int streams = 0;
  for (const auto& runner : runners_)
    streams += runner->streams();
  std::printf(
      "rollout of a revision that fails half of its streams: %s after %s ms (%s); its runners received %d streams\n",
      operations::fieldOf(report_, "state").value_or("unknown").c_str(),
      operations::fieldOf(report_, "elapsedMs").value_or("?").c_str(),
      operations::fieldOf(report_, "reason").value_or("").c_str(), streams);
}
void TrialRollout::stopHeartbeats() {
  for (auto& runner : runners_)
    runner->stopHeartbeats();
}
}  // namespace zinccleat::simulation
