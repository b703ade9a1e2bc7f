#include "balancing/runner_membership.hpp"

#include <unordered_set>

namespace zinccleat::balancing {
void RunnerMembership::setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now) {
  std::unordered_set<std::string_view> listed;
  for (const auto& runner : runners)
    listed.insert(runner.id);
  std::vector<std::string> removedIds;
  for (const auto& [id, index] : indexById_)
    if (!listed.contains(id))
      removedIds.push_back(id);
  for (const auto& id : removedIds)
    markAbsent(id);
  warmups_.followRunners(runners, now);
  for (const auto& runner : runners)
    updateEndpoint(runner);
}

void RunnerMembership::follow(const state_machine::RunnerTable& runners, TimePoint now) {
  const auto changed = runners.changedSince(std::exchange(followedRevision_, runners.revision()));
  if (!changed)
    return setRunners(runners, now);
  for (const auto& id : *changed) {
    const auto* runner = runners.find(id);
    if (!runner) {
      warmups_.forgetRunner(id);
      markAbsent(id);
      continue;
    }
    warmups_.followRunner(*runner, now);
    updateEndpoint(*runner);
  }
}

void RunnerMembership::updateEndpoint(const state_machine::Runner& runner) {
  auto& endpoint = at(findOrAddIndex(runner.id));
  endpoint.revision = runner.software.revision;
  endpoint.service = runner.service;
  endpoint.address = runner.address;
  endpoint.zone = runner.zone;
  endpoint.capacity = static_cast<int>(runner.capacity);
  endpoint.draining = runner.runnerState() == state_machine::RunnerState::draining;
  applyWarmup(endpoint);
  applyZoneDrain(endpoint);
}

void RunnerMembership::markAbsent(const std::string& runnerId) {
  const auto known = indexById_.find(runnerId);
  if (known == indexById_.end())
    return;
  at(known->second).present = false;
  absent_.push_back(known->second);
  indexById_.erase(known);
}

int RunnerMembership::findOrAddIndex(const std::string& runnerId) {
  if (const auto it = indexById_.find(runnerId); it != indexById_.end())
    return it->second;
  const int index = allocateIndex();
  auto& endpoint = at(index);
  endpoint = RunnerEndpoint{};
  endpoint.id = runnerId;
  const auto ejected = ejectedLevel_.find(runnerId);
  endpoint.ejected = ejected == ejectedLevel_.end() ? 0 : ejected->second;
  indexById_[runnerId] = index;
  return index;
}

int RunnerMembership::allocateIndex() {
  const auto unused =
      std::find_if(absent_.begin(), absent_.end(), [this](int index) { return at(index).inFlight == 0; });
  if (unused == absent_.end()) {
    endpoints_.emplace_back();
    return static_cast<int>(endpoints_.size()) - 1;
  }
  const int index = *unused;
  absent_.erase(unused);
  return index;
}

void RunnerMembership::setZoneDrains(std::map<std::string, ZoneDrainLevel> zones) {
  zoneDrains_ = std::move(zones);
  applyZoneDrains();
}

void RunnerMembership::applyZoneDrains() {
  for (auto& endpoint : endpoints_)
    applyZoneDrain(endpoint);
}

void RunnerMembership::applyZoneDrain(RunnerEndpoint& endpoint) const {
  const auto it = zoneDrains_.find(endpoint.zone);
  const auto level = it == zoneDrains_.end() ? ZoneDrainLevel{} : it->second;
  endpoint.drainPercent = level.drainPercent;
  endpoint.migrateStreams = level.migrateStreams;
  endpoint.evacuated = level.evacuated;
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
  for (auto& endpoint : endpoints_)
    applyWarmup(endpoint);
}

void RunnerMembership::applyWarmup(RunnerEndpoint& endpoint) const {
  endpoint.warmAt = warmups_.warmAt(endpoint.id);
  endpoint.warmupIsLimited = warmups_.requestsPerS(endpoint.id) > 0;
}

void RunnerMembership::setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt) {
  for (const auto& grant : grants) {
    const auto it = indexById_.find(grant.runner);
    if (it == indexById_.end())
      continue;
    auto& endpoint = at(it->second);
    endpoint.warmupGrants = grant.requests;
    endpoint.warmupGrantsExpireAt = requestedAt + transport::kWarmupGrantLifetime;
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
  return isBounded && (endpoint.warmupGrants <= 0 || now >= endpoint.warmupGrantsExpireAt);
}

void RunnerMembership::setEjected(const std::vector<transport::RunnerEjection>& ejections) {
  for (auto& endpoint : endpoints_)
    endpoint.ejected = 0;
  ejectedLevel_.clear();
  for (const auto& ejection : ejections)
    ejectedLevel_[ejection.runner] = ejection.level;
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
  // A zone without a known region counts as being in the same region, so that a missing entry in the region map does
  // not exclude a runner.
  return region == regions_.end() || otherRegion == regions_.end() || region->second == otherRegion->second;
}
}  // namespace zinccleat::balancing
