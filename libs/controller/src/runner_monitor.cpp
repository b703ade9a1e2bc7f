#include "runner_monitor.hpp"

#include <set>

namespace zinccleat::controller {
namespace {
constexpr int kIntervalsUntilExpiry = 3;
// Time for a runner to find a controller that answers, and for the forwarding of its heartbeat.
constexpr Duration kFailoverAllowance = 1500ms;
// How long heartbeats of a runner that is not in the replica are remembered.
constexpr auto kAbsentRunnerRetention = 30s;
constexpr auto kSuspendedAfter = 2500ms;  // a longer gap between checks means that this process was suspended
}  // namespace

RunnerMonitor::RunnerMonitor(Duration heartbeatInterval)
    : timeout_(heartbeatInterval * kIntervalsUntilExpiry + kFailoverAllowance) {}
void RunnerMonitor::recordHeartbeat(const std::string& runner, TimePoint receivedAt) {
  auto& newest = lastHeartbeat_[runner];
  newest = std::max(newest, receivedAt);
}
std::vector<state_machine::Runner> RunnerMonitor::findExpired(TimePoint now, bool hasLease,
                                                              const std::vector<state_machine::Runner>& runners) {
  const bool wasSuspended = now - std::exchange(lastCheck_, now) > kSuspendedAfter;
  if (!hasLease) {
    monitoringSince_.reset();
    return {};
  }
  if (!monitoringSince_ || wasSuspended)
    monitoringSince_ = now;
  const bool hasMonitoredFullTimeout = now - *monitoringSince_ >= timeout_;
  std::set<std::string> present;
  std::vector<state_machine::Runner> expired;
  for (const auto& runner : runners) {
    present.insert(runner.id);
    const auto last = lastHeartbeat_.try_emplace(runner.id, now).first->second;
    if (hasMonitoredFullTimeout && now - last > timeout_)
      expired.push_back(runner);
  }
  std::erase_if(lastHeartbeat_, [&](const auto& heartbeat) {
    return !present.contains(heartbeat.first) && now - heartbeat.second > kAbsentRunnerRetention;
  });
  return expired;
}
}  // namespace zinccleat::controller
