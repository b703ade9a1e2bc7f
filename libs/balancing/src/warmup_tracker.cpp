#include "balancing/warmup_tracker.hpp"

#include <unordered_set>

namespace zinccleat::balancing {
void WarmupTracker::followRunners(const std::vector<state_machine::Runner>& runners, TimePoint now) {
  std::unordered_set<std::string_view> listed;
  for (const auto& runner : runners) {
    listed.insert(runner.id);
    followRunner(runner, now);
  }
  std::erase_if(runners_, [&](const auto& entry) { return !listed.contains(entry.first); });
  std::erase_if(warming_, [this](const auto& id) { return !runners_.contains(id); });
}
void WarmupTracker::followRunner(const state_machine::Runner& runner, TimePoint now) {
  auto& warmup = runners_[runner.id];
  warmup.service = runner.service;
  warmup.zone = runner.zone;
  if (runner.sequence <= warmup.sequence)
    return;
  warmup.sequence = runner.sequence;
  const bool warmsUp = runner.software.warmupMs > 0;
  warmup.announcedEnd = warmsUp ? now + Duration(runner.software.warmupMs) : TimePoint{};
  if (warmsUp)
    warming_.insert(runner.id);
}
void WarmupTracker::forgetRunner(const std::string& runner) {
  runners_.erase(runner);
  warming_.erase(runner);
}
void WarmupTracker::followEvacuations(const std::vector<std::string>& places,
                                      const std::map<std::string, std::string>& zoneToRegion, TimePoint now) {
  std::set<std::string> zones;
  for (const auto& place : places)
    for (const auto& [zone, region] : zoneToRegion)
      if (zone == place || region == place)
        zones.insert(zone);
  const auto before = std::exchange(evacuated_, zones).value_or(std::set<std::string>{});
  if (std::includes(zones.begin(), zones.end(), before.begin(), before.end()))
    return;  // every zone that was evacuated before is still evacuated
  for (auto& [id, warmup] : runners_) {
    const bool released = before.contains(warmup.zone) && !zones.contains(warmup.zone);
    const auto limit = services_.find(warmup.service);
    if (!released || limit == services_.end())
      continue;
    warmup.assumedEnd = now + limit->second.warmup;
    warming_.insert(id);
  }
}
void WarmupTracker::followServices(const std::vector<config::Service>& services) {
  services_.clear();
  for (const auto& service : services)
    if (service.warmupRequestsPerS > 0)
      services_[service.label] = {service.warmup, service.warmupRequestsPerS};
}
TimePoint WarmupTracker::warmAt(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  return warmup == runners_.end() ? TimePoint{} : warmup->second.end();
}
bool WarmupTracker::hasAnnouncedWarmup(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  return warmup != runners_.end() && warmup->second.announcedEnd != TimePoint{};
}
double WarmupTracker::requestsPerS(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  if (warmup == runners_.end())
    return 0;
  const auto limit = services_.find(warmup->second.service);
  return limit == services_.end() ? 0 : limit->second.requestsPerS;
}
std::vector<std::string> WarmupTracker::limitedRunners(TimePoint now) {
  std::erase_if(warming_, [&](const auto& id) { return now >= runners_.at(id).end(); });
  std::vector<std::string> limited;
  for (const auto& id : warming_)
    if (services_.contains(runners_.at(id).service))
      limited.push_back(id);
  return limited;
}
std::string WarmupTracker::zoneOf(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  return warmup == runners_.end() ? std::string{} : warmup->second.zone;
}
}  // namespace zinccleat::balancing
