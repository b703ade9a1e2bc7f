#include "balancing/warmup_tracker.hpp"

namespace zinccleat::balancing {
void WarmupTracker::followRunners(const std::vector<state_machine::Runner>& runners, TimePoint now) {
  std::map<std::string, Warmup> followed;
  for (const auto& runner : runners) {
    auto& warmup = followed[runner.id];
    if (const auto known = runners_.find(runner.id); known != runners_.end())
      warmup = std::move(known->second);
    warmup.service = runner.service;
    warmup.zone = runner.zone;
    if (runner.sequence <= warmup.sequence)
      continue;
    warmup.sequence = runner.sequence;
    warmup.announced = runner.software.warmupMs > 0 ? now + Duration(runner.software.warmupMs) : TimePoint{};
  }
  runners_ = std::move(followed);
}
void WarmupTracker::followEvacuations(const std::vector<std::string>& places,
                                      const std::map<std::string, std::string>& zoneToRegion, TimePoint now) {
  std::set<std::string> zones;
  for (const auto& place : places)
    for (const auto& [zone, region] : zoneToRegion)
      if (zone == place || region == place)
        zones.insert(zone);
  const auto before = std::exchange(evacuated_, zones).value_or(std::set<std::string>{});
  for (auto& [id, warmup] : runners_) {
    const bool released = before.contains(warmup.zone) && !zones.contains(warmup.zone);
    const auto limit = services_.find(warmup.service);
    if (released && limit != services_.end())
      warmup.assumed = now + limit->second.warmup;
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
bool WarmupTracker::isAnnounced(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  return warmup != runners_.end() && warmup->second.announced != TimePoint{};
}
double WarmupTracker::requestsPerS(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  if (warmup == runners_.end())
    return 0;
  const auto limit = services_.find(warmup->second.service);
  return limit == services_.end() ? 0 : limit->second.requestsPerS;
}
std::vector<std::string> WarmupTracker::limitedRunners(TimePoint now) const {
  std::vector<std::string> limited;
  for (const auto& [id, warmup] : runners_)
    if (now < warmup.end() && services_.contains(warmup.service))
      limited.push_back(id);
  return limited;
}
std::string WarmupTracker::zoneOf(const std::string& runner) const {
  const auto warmup = runners_.find(runner);
  return warmup == runners_.end() ? std::string{} : warmup->second.zone;
}
}  // namespace zinccleat::balancing
