#include "balancing/zone_reachability.hpp"

#include <set>

namespace zinccleat::balancing {
namespace {
constexpr Duration kTimeoutsCount{1500};  // together, if they are no further apart
}  // namespace

bool ZoneReachability::recordHeard(const std::string& zone, TimePoint now) {
  auto& state = zones_[zone];
  state.heardAt = now;
  state.timeouts.clear();
  return std::exchange(state.unreachable, false);
}
bool ZoneReachability::recordTimeout(const std::string& zone, int runner, TimePoint now) {
  auto& state = zones_[zone];
  state.timeouts[runner] = now;
  std::erase_if(state.timeouts, [now](const auto& timeout) { return now - timeout.second >= kTimeoutsCount; });
  if (state.timeouts.size() < kMinRunners)
    return false;
  return !std::exchange(state.unreachable, true);
}
bool ZoneReachability::recordProbeTimeout(const std::string& zone) {
  return !std::exchange(zones_[zone].unreachable, true);
}
bool ZoneReachability::isUnreachable(const std::string& zone) const {
  const auto found = zones_.find(zone);
  return found != zones_.end() && found->second.unreachable;
}
std::vector<std::string> ZoneReachability::zonesToProbe(const std::vector<SilentAttempt>& attempts, TimePoint now) {
  std::map<std::string_view, std::set<int>> silentRunners;
  for (const auto& attempt : attempts)
    if (now - attempt.since >= kSilence)
      silentRunners[attempt.zone].insert(attempt.runner);
  std::vector<std::string> due;
  for (const auto& [zone, runners] : silentRunners) {
    auto& state = zones_[std::string(zone)];
    const bool isSilent = now - state.heardAt >= kSilence && runners.size() >= kMinRunners;
    if (isSilent && !state.unreachable && now - state.probedAt >= kSilence)
      due.emplace_back(zone);
  }
  for (const auto& [zone, state] : zones_)
    if (state.unreachable && now - state.probedAt >= kProbeInterval)
      due.push_back(zone);
  for (const auto& zone : due)
    zones_[zone].probedAt = now;
  return due;
}
}  // namespace zinccleat::balancing
