#include "balancing/runner_pool.hpp"

#include <array>
#include <charconv>
#include <cmath>

#include "rollout/exposure.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kLoadReportLifetime = 1500ms;
constexpr auto kBaseBackoff = 300ms;
constexpr int kMaxBackoffDoublings = 4;
constexpr int kProbeOneIn = 12;  // idempotent requests that may probe a runner that was ejected not long ago
constexpr double kPromptSmoothing = 0.02;
constexpr std::uint64_t kPercent = 100;
constexpr std::size_t kMinRunnersWithinShare = 3;  // one could crash
constexpr std::uint64_t kShareSeed = 0x726f6c6c;   // ranks the runners of a candidate otherwise than prefixes do
constexpr int kMinLoadReports = 3;                 // for a mean
constexpr int kAffinityShift = 8;                  // the bits of the affinity that decide on zone drains

// Costs of the choice by prefix affinity, in prompt tokens that wait to be computed.
constexpr double kRecomputedTokenCost = 4;  // of a prefix token that has to be computed again
constexpr double kLoadCost = 2000;          // of a full runner: a growing batch slows all its streams
constexpr double kNearlyFull = 0.9;         // load from which new requests have to wait for a slot
constexpr double kNearlyFullCost = 5000;
constexpr double kOverloadCost = 50000;
constexpr double kOtherZoneCost = 700;
constexpr double kOtherRegionCost = 30000;  // so far away that all near runners must be busy
constexpr std::uint64_t kTieBreakTokens = 100;

// Costs of the choice by load, as fractions of a runner's slots. The own zone is left only once it is busy.
constexpr double kOtherZoneLoad = 0.3;
constexpr double kOtherRegionLoad = 1.0;
constexpr std::uint64_t kTieBreakSteps = 100;
constexpr double kTieBreakLoad = 1e-4;

struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
};
// Reads three numbers; spaces may precede and a comma may follow each.
std::optional<LoadReport> parseLoadReport(std::string_view text) {
  std::array<int, 3> numbers{};
  for (int& number : numbers) {
    text.remove_prefix(std::min(text.find_first_not_of(' '), text.size()));
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (error != std::errc{})
      return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(end - text.data()));
    if (text.starts_with(','))
      text.remove_prefix(1);
  }
  return LoadReport{numbers[0], numbers[1], numbers[2]};
}

bool contains(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}
}  // namespace

void RunnerPool::setRunners(const std::vector<state_machine::Runner>& runners, TimePoint now) {
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

int RunnerPool::indexFor(const std::string& runnerId) {
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

void RunnerPool::setZoneDrains(std::map<std::string, ZoneDrainLevel> zones) {
  zoneDrains_ = std::move(zones);
  applyZoneDrains();
}

void RunnerPool::applyZoneDrains() {
  for (auto& endpoint : endpoints_) {
    const auto it = zoneDrains_.find(endpoint.zone);
    const auto level = it == zoneDrains_.end() ? ZoneDrainLevel{} : it->second;
    endpoint.drainPercent = level.drainPercent;
    endpoint.migrateStreams = level.migrateStreams;
    endpoint.evacuated = level.evacuated;
  }
}

void RunnerPool::setEvacuations(const std::vector<std::string>& places, TimePoint now) {
  warmups_.followEvacuations(places, regions_, now);
  applyWarmups();
}

void RunnerPool::setServices(const std::vector<config::Service>& services) {
  warmups_.followServices(services);
  applyWarmups();
}

void RunnerPool::applyWarmups() {
  for (auto& endpoint : endpoints_) {
    endpoint.warmAt = warmups_.warmAt(endpoint.id);
    endpoint.warmupIsLimited = warmups_.requestsPerS(endpoint.id) > 0;
  }
}

void RunnerPool::setWarmupGrants(const std::vector<transport::WarmupGrant>& grants, TimePoint requestedAt) {
  for (const auto& grant : grants) {
    const auto it = indexById_.find(grant.runner);
    if (it == indexById_.end())
      continue;
    auto& endpoint = at(it->second);
    endpoint.warmupGrants = grant.requests;
    endpoint.warmupGrantsEnd = requestedAt + transport::kWarmupGrantLifetime;
  }
}

bool RunnerPool::hasLimitedWarmup(TimePoint now) const {
  return std::any_of(endpoints_.begin(), endpoints_.end(), [now](const RunnerEndpoint& endpoint) {
    return endpoint.present && endpoint.warmupIsLimited && now < endpoint.warmAt;
  });
}

bool RunnerPool::awaitsWarmupGrant(const RunnerEndpoint& endpoint, TimePoint now) const {
  const bool isBounded = endpoint.warmupIsLimited && now < endpoint.warmAt;
  return isBounded && (endpoint.warmupGrants <= 0 || now >= endpoint.warmupGrantsEnd);
}

void RunnerPool::setEjected(const std::vector<transport::RunnerEjection>& ejections) {
  for (auto& endpoint : endpoints_)
    endpoint.ejected = 0;
  for (const auto& ejection : ejections)
    if (const auto it = indexById_.find(ejection.runner); it != indexById_.end())
      at(it->second).ejected = ejection.level;
}

int RunnerPool::inFlightInZones(const std::set<std::string>& zones) const {
  int count = 0;
  for (const auto& endpoint : endpoints_)
    if (zones.contains(endpoint.zone))
      count += endpoint.inFlight;
  return count;
}

int RunnerPool::inFlightAtOtherRevisions(std::string_view service, std::string_view revision) const {
  int count = 0;
  for (const auto& endpoint : endpoints_)
    if (endpoint.service == service && endpoint.revision != revision)
      count += endpoint.inFlight;
  return count;
}

void RunnerPool::updateLoad(int index, std::string_view report, TimePoint now) {
  const auto reported = parseLoadReport(report);
  if (!reported)
    return;
  auto& endpoint = at(index);
  endpoint.reportedRunning = reported->running;
  endpoint.reportedWaiting = reported->waiting;
  endpoint.reportedSlots = reported->slots;
  endpoint.inFlightAtReport = endpoint.inFlight;
  endpoint.prefillingAtReport = endpoint.prefilling;
  endpoint.reportedAt = now;
}

double RunnerPool::load(int index, TimePoint now) const {
  const auto& endpoint = at(index);
  const double slots = std::max(1, endpoint.reportedSlots > 0 ? endpoint.reportedSlots : endpoint.capacity);
  if (now - endpoint.reportedAt >= kLoadReportLifetime)
    return endpoint.inFlight / slots;
  const int startedSinceReport = endpoint.inFlight - endpoint.inFlightAtReport;
  const int estimated = endpoint.reportedRunning + endpoint.reportedWaiting + startedSinceReport;
  return std::max(endpoint.inFlight, estimated) / slots;
}

void RunnerPool::recordSuccess(int index) {
  auto& endpoint = at(index);
  endpoint.consecutiveFailures = 0;
  endpoint.backoffUntil = {};
}

void RunnerPool::recordFailure(int index, TimePoint now) {
  auto& endpoint = at(index);
  endpoint.consecutiveFailures = std::min(endpoint.consecutiveFailures + 1, kMaxBackoffDoublings);
  endpoint.backoffUntil = now + kBaseBackoff * (1 << endpoint.consecutiveFailures);
}

void RunnerPool::attemptStarted(int index, std::int64_t promptTokens, TimePoint now) {
  auto& endpoint = at(index);
  if (now < endpoint.warmAt && endpoint.warmupGrants > 0)
    --endpoint.warmupGrants;
  ++endpoint.inFlight;
  ++endpoint.prefilling;
  endpoint.prefillTokens += promptTokens;
  if (promptTokens > 0)
    meanPromptTokens_ =
        meanPromptTokens_ * (1 - kPromptSmoothing) + static_cast<double>(promptTokens) * kPromptSmoothing;
}

void RunnerPool::prefillEnded(int index, std::int64_t promptTokens) {
  auto& endpoint = at(index);
  --endpoint.prefilling;
  endpoint.prefillTokens -= promptTokens;
}

int RunnerPool::choose(const RunnerQuery& query, TimePoint now) {
  const auto candidates = candidatesFor(query, now);
  // A zone that is being drained still serves rather than nobody.
  const auto& usable = candidates.available.empty() ? candidates.zoneDraining : candidates.available;
  if (!usable.empty())
    return query.hasPrefixCache ? chooseByPrefixAffinity(query, usable, now) : chooseLeastLoaded(query, usable, now);
  if (candidates.unhealthy.empty())
    return -1;
  // An unhealthy runner may answer all the same, which is better than a certain rejection.
  return candidates.unhealthy[rng_() % candidates.unhealthy.size()];
}

RunnerPool::Candidates RunnerPool::candidatesFor(const RunnerQuery& query, TimePoint now) {
  Candidates candidates;
  const bool limited = isLimited(query.revisions);
  const auto withinLimit = limited ? runnersWithinLimit(query, now) : std::vector<int>{};
  if (limited && !startsWhereItStays(query, withinLimit))
    return candidates;
  // By affinity, so that all proxies move the same prefixes at the same step of a zone drain, and each prefix is
  // computed anew once and at one runner.
  const auto percentile = static_cast<int>((query.affinity ? query.affinity >> kAffinityShift : rng_()) % kPercent);
  for (int index = 0; index < static_cast<int>(endpoints_.size()); ++index) {
    const auto& endpoint = at(index);
    if (!isEligible(index, query) || contains(query.excluded, index) || awaitsWarmupGrant(endpoint, now))
      continue;
    if (limited && !contains(withinLimit, index))
      continue;
    if (isUnhealthy(endpoint, query, now))
      candidates.unhealthy.push_back(index);
    else if (percentile < endpoint.drainPercent)
      candidates.zoneDraining.push_back(index);
    else
      candidates.available.push_back(index);
  }
  return candidates;
}

bool RunnerPool::isEligible(int index, const RunnerQuery& query) const {
  const auto& endpoint = at(index);
  return endpoint.present && !endpoint.draining && !endpoint.evacuated && endpoint.service == query.service &&
         query.revisions.matches(endpoint.revision);
}

std::vector<int> RunnerPool::eligibleRunners(const RunnerQuery& query) const {
  std::vector<int> eligible;
  for (int index = 0; index < static_cast<int>(endpoints_.size()); ++index)
    if (isEligible(index, query))
      eligible.push_back(index);
  return eligible;
}

bool RunnerPool::isLimited(const rollout::RevisionFilter& revisions) {
  return revisions.runnerShare < 1 || revisions.loadTestGroup > 0;
}

std::vector<int> RunnerPool::runnersWithinLimit(const RunnerQuery& query, TimePoint now) {
  auto eligible = eligibleRunners(query);
  const auto rank = [&](int index) { return hash64(at(index).id, kShareSeed); };
  std::sort(eligible.begin(), eligible.end(), [&](int one, int other) { return rank(one) < rank(other); });
  const auto& revisions = query.revisions;
  if (revisions.loadTestGroup <= 0) {
    const double wanted = std::ceil(static_cast<double>(eligible.size()) * revisions.runnerShare);
    eligible.resize(std::min(eligible.size(), std::max(kMinRunnersWithinShare, static_cast<std::size_t>(wanted))));
    return eligible;
  }
  const double part = rollout::exposureOf(revisions.exposureShare, eligible.size()).loadTest;
  const rollout::BaselineLoad baseline{meanLoadOfOthers(query, now), query.hasPrefixCache};
  const auto group = rollout::loadTestGroup(eligible.size(), part, baseline);
  std::vector<int> members;
  if (std::uniform_real_distribution<double>(0, 1)(rng_) >= group.requestPart)
    return members;
  const auto first = static_cast<std::size_t>(revisions.loadTestGroup - 1) * group.runners;
  for (std::size_t i = 0; i < std::min(group.runners, eligible.size()); ++i)
    members.push_back(eligible[(first + i) % eligible.size()]);
  return members;
}

double RunnerPool::meanLoadOfOthers(const RunnerQuery& query, TimePoint now) const {
  double sum = 0;
  int count = 0;
  for (int index = 0; index < static_cast<int>(endpoints_.size()); ++index) {
    const auto& endpoint = at(index);
    const bool isOther =
        endpoint.present && endpoint.service == query.service && !query.revisions.matches(endpoint.revision);
    if (!isOther || now - endpoint.reportedAt >= kLoadReportLifetime)
      continue;
    sum += load(index, now);
    ++count;
  }
  return count >= kMinLoadReports ? sum / count : 0;
}

// A canary's request warms the runner that its prefix is going to prefer once all of the revision's runners are used.
// A load test has too few runners for that.
bool RunnerPool::startsWhereItStays(const RunnerQuery& query, const std::vector<int>& withinLimit) const {
  if (!query.hasPrefixCache || !query.affinity || query.revisions.loadTestGroup > 0)
    return true;
  return contains(withinLimit, preferredRunner(query, eligibleRunners(query)));
}

// Draws a random number for each runner that may be probed.
bool RunnerPool::isUnhealthy(const RunnerEndpoint& endpoint, const RunnerQuery& query, TimePoint now) {
  // After a failure one request at a time: a runner that still fails should cost one of them, not many.
  const bool backingOff = endpoint.backoffUntil > now || (endpoint.consecutiveFailures > 0 && endpoint.inFlight > 0);
  if (backingOff || endpoint.ejected >= 1)
    return true;
  if (endpoint.ejected <= 0)
    return false;
  const bool mayProbe = query.idempotent && endpoint.inFlight == 0;
  return !mayProbe || rng_() % kProbeOneIn != 0;
}

// Rendezvous hashing: the highest hash of runner and prefix wins, within the proxy's own region if that has a runner.
int RunnerPool::preferredRunner(const RunnerQuery& query, const std::vector<int>& candidates) const {
  if (!query.affinity)
    return -1;
  const bool inRegion =
      std::any_of(candidates.begin(), candidates.end(), [&](int i) { return sameRegion(at(i).zone, query.zone); });
  int preferred = -1;
  std::uint64_t highest = 0;
  for (int index : candidates) {
    if (inRegion && !sameRegion(at(index).zone, query.zone))
      continue;
    const auto rank = hash64(at(index).id, query.affinity);
    if (preferred < 0 || rank > highest) {
      preferred = index;
      highest = rank;
    }
  }
  return preferred;
}

double RunnerPool::affinityCost(int index, bool isPreferred, const RunnerQuery& query, TimePoint now) const {
  const auto& endpoint = at(index);
  auto cost = static_cast<double>(endpoint.prefillTokens);
  if (now - endpoint.reportedAt < kLoadReportLifetime)
    cost += std::max(0, endpoint.reportedWaiting - endpoint.prefillingAtReport) * meanPromptTokens_;
  const double fraction = load(index, now);
  cost += fraction * kLoadCost;
  if (fraction > kNearlyFull)
    cost += kOverloadCost * (fraction - kNearlyFull) + kNearlyFullCost;
  if (!isPreferred)
    cost += static_cast<double>(query.sharedTokens) * kRecomputedTokenCost;
  if (endpoint.zone != query.zone)
    cost += sameRegion(endpoint.zone, query.zone) ? kOtherZoneCost : kOtherRegionCost;
  return cost;
}

int RunnerPool::chooseByPrefixAffinity(const RunnerQuery& query, const std::vector<int>& candidates, TimePoint now) {
  const int preferred = preferredRunner(query, candidates);
  int best = -1;
  double lowestCost = 0;
  for (int index : candidates) {
    const double cost =
        affinityCost(index, index == preferred, query, now) + static_cast<double>(rng_() % kTieBreakTokens);
    if (best < 0 || cost < lowestCost) {
      best = index;
      lowestCost = cost;
    }
  }
  return best;
}

double RunnerPool::distanceLoad(int index, const RunnerQuery& query) const {
  const auto& zone = at(index).zone;
  if (zone == query.zone)
    return 0;
  return sameRegion(zone, query.zone) ? kOtherZoneLoad : kOtherRegionLoad;
}

int RunnerPool::chooseLeastLoaded(const RunnerQuery& query, const std::vector<int>& candidates, TimePoint now) {
  int best = -1;
  double lowestCost = 0;
  for (int index : candidates) {
    const double tieBreak = static_cast<double>(rng_() % kTieBreakSteps) * kTieBreakLoad;
    const double cost = load(index, now) + tieBreak + distanceLoad(index, query);
    if (best < 0 || cost < lowestCost) {
      best = index;
      lowestCost = cost;
    }
  }
  return best;
}

bool RunnerPool::sameRegion(std::string_view zone, std::string_view otherZone) const {
  const auto region = regions_.find(std::string(zone));
  const auto otherRegion = regions_.find(std::string(otherZone));
  // Zones without a known region count as near: a wrong guess must not shut a runner out.
  return region == regions_.end() || otherRegion == regions_.end() || region->second == otherRegion->second;
}
}  // namespace zinccleat::balancing
