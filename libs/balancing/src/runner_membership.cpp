#include "balancing/runner_membership.hpp"

namespace zinccleat::balancing {
void RunnerMembership::setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now) {
  for (auto& endpoint : endpoints_)
    endpoint.present = false;
  for (const auto& runner : runners) {
    auto& endpoint = at(indexFor(runner.id));
    endpoint.revision = runner.software.revision;
    endpoint.service = runner.service;
    endpoint.address = runner.address;
    endpoint.zone = runner.zone;
    endpoint.capacity = static_cast<int>(runner.capacity);
    endpoint.draining = runner.runnerState() == state_machine::RunnerState::draining;
    endpoint.present = true;
  }
  warmups_.followRunners(runners, now);
  applyWarmups();
  applyZoneDrains();
  std::erase_if(indexById_, [this](const auto& entry) { return !at(entry.second).present; });
}

int RunnerMembership::indexFor(const std::string& runnerId) {
  if (const auto it = indexById_.find(runnerId); it != indexById_.end())
    return it->second;
  auto endpoint = std::find_if(endpoints_.begin(), endpoints_.end(), [this](const RunnerEndpoint& candidate) {
    return !candidate.present && candidate.inFlight == 0 && !indexById_.contains(candidate.id);
  });
  if (endpoint == endpoints_.end())
    endpoint = endpoints_.emplace(endpoints_.end());
  *endpoint = RunnerEndpoint{};
  endpoint->id = runnerId;
  const auto index = static_cast<int>(endpoint - endpoints_.begin());
  indexById_[runnerId] = index;
  return index;
}

void RunnerMembership::setZoneDrains(std::map<std::string, ZoneDrainLevel> zones) {
  zoneDrains_ = std::move(zones);
  applyZoneDrains();
}

void RunnerMembership::applyZoneDrains() {
  for (auto& endpoint : endpoints_) {
    const auto it = zoneDrains_.find(endpoint.zone);
    const auto level = it == zoneDrains_.end() ? ZoneDrainLevel{} : it->second;
    endpoint.drainPercent = level.drainPercent;
    endpoint.migrateStreams = level.migrateStreams;
    endpoint.evacuated = level.evacuated;
  }
}

void RunnerMembership::setEvacuations(const std::vector<std::string>& places, TimePoint now) {
  warmups_.followEvacuations(places, regions_, now);
  applyWarmups();
}

void RunnerMembership::setServices(const std::vector<config::Service>& services) {
  warmups_.followServices(services);
  applyWarmups();
}

void RunnerMembership::applyWarmups() {
  for (auto& endpoint : endpoints_) {
    endpoint.warmAt = warmups_.warmAt(endpoint.id);
    endpoint.warmupIsLimited = warmups_.requestsPerS(endpoint.id) > 0;
  }
}

void RunnerMembership::setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt) {
  for (const auto& grant : grants) {
    const auto it = indexById_.find(grant.runner);
    if (it == indexById_.end())
      continue;
    auto& endpoint = at(it->second);
    endpoint.warmupGrants = grant.requests;
    endpoint.warmupGrantsEnd = requestedAt + transport::kWarmupGrantLifetime;
  }
}

bool RunnerMembership::hasLimitedWarmup(TimePoint now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [now](const RunnerEndpoint& endpoint) {
    return endpoint.present && endpoint.warmupIsLimited && now < endpoint.warmAt;
  });
}

bool RunnerMembership::awaitsWarmupGrant(int index, TimePoint now) const {
  const auto& endpoint = at(index);
  const bool isBounded = endpoint.warmupIsLimited && now < endpoint.warmAt;
  return isBounded && (endpoint.warmupGrants <= 0 || now >= endpoint.warmupGrantsEnd);
}

void RunnerMembership::setEjected(const std::vector<transport::RunnerEjection>& ejections) {
  for (auto& endpoint : endpoints_)
    endpoint.ejected = 0;
  for (const auto& ejection : ejections)
    if (const auto it = indexById_.find(ejection.runner); it != indexById_.end())
      at(it->second).ejected = ejection.level;
}

bool RunnerMembership::isEligible(int index, const RunnerQuery& query) const {
  const auto& endpoint = at(index);
  return endpoint.present && !endpoint.draining && !endpoint.evacuated && endpoint.service == query.service &&
         query.revisions.matches(endpoint.revision);
}

std::vector<int> RunnerMembership::eligibleRunners(const RunnerQuery& query) const {
  std::vector<int> eligible;
  for (int index = 0; index < static_cast<int>(endpoints_.size()); ++index)
    if (isEligible(index, query))
      eligible.push_back(index);
  return eligible;
}

bool RunnerMembership::sameRegion(std::string_view zone, std::string_view otherZone) const {
  const auto region = regions_.find(std::string(zone));
  const auto otherRegion = regions_.find(std::string(otherZone));
  // Zones without a known region count as near: a wrong guess must not shut a runner out.
  return region == regions_.end() || otherRegion == regions_.end() || region->second == otherRegion->second;
}
}  // namespace zinccleat::balancing
