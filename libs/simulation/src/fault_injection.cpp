#include "fault_injection.hpp"

#include "control_calls.hpp"

namespace zinccleat::simulation {
namespace {
constexpr auto kTakeOverPoll = 5ms;
constexpr auto kTakeOverTimeout = 10s;
}  // namespace

void FaultInjection::start(const ScaleRunPlan& plan, Duration within) {
  spread(plan.restarts, within, &FaultInjection::restartNode);
  spread(plan.runnerEnds, within, &FaultInjection::requestDeparture);
  spread(plan.coreKills, within, &FaultInjection::killLeader);
}
void FaultInjection::spread(int times, Duration within, void (FaultInjection::*fault)()) {
  if (times <= 0)
    return;
  runtime::EventLoop::get().spawn([this, times, within, fault] {
    for (int i = 0; i < times && !stopped_; ++i) {
      runtime::EventLoop::get().sleepFor(within / (times + 1));
      if (!stopped_)
        (this->*fault)();
    }
  });
}
void FaultInjection::restartNode() {
  targets_.nodes[targets_.random() % targets_.nodes.size()]->restart();
}
void FaultInjection::requestDeparture() {
  targets_.runners.requestDeparture();
}
void FaultInjection::killLeader() {
  const auto leader = findLeader(targets_.fleet);
  if (!leader)
    return;
  const auto killedAt = Clock::now();
  targets_.meter.forget(targets_.fleet.processes()[*leader].pid);
  targets_.fleet.kill(*leader);
  awaitTokenAnswer(answeredTokenRequests(), killedAt);
  takeOverMs_.push_back(std::chrono::duration<double, std::milli>(Clock::now() - killedAt).count());
  targets_.fleet.startAgain(*leader);
  targets_.meter.forget(targets_.fleet.processes()[*leader].pid);
}
std::size_t FaultInjection::answeredTokenRequests() const {
  std::size_t answered = 0;
  for (const auto& node : targets_.nodes)
    answered += node->statistics().tokenRequestMs.size();
  return answered;
}
// A token request answered is what a request without a token waits for.
void FaultInjection::awaitTokenAnswer(std::size_t answeredBefore, TimePoint killedAt) const {
  do
    runtime::EventLoop::get().sleepFor(kTakeOverPoll);
  while (answeredTokenRequests() == answeredBefore && Clock::now() - killedAt < kTakeOverTimeout);
}
}  // namespace zinccleat::simulation
