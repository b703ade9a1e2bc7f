#include "balancing/runner_pool.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kBaseBackoff = 300ms;
constexpr int kMaxBackoffDoublings = 4;
constexpr int kProbeOneIn = 12;  // one in 12 idempotent requests may probe a runner with an ejection level below 1
constexpr std::uint64_t kPercent = 100;
constexpr int kAffinityShift = 8;  // zone drains use the affinity hash without its lowest 8 bits

bool contains(const std::vector<int>& list, int value) {
  return std::find(list.begin(), list.end(), value) != list.end();
}
}  // namespace

int RunnerPool::inFlightInZones(const std::set<std::string>& zones) const {
  int count = 0;
  for (const auto& endpoint : runners_.endpoints())
    if (zones.contains(endpoint.zone))
      count += endpoint.inFlight;
  return count;
}

int RunnerPool::inFlightAtOtherRevisions(std::string_view service, std::string_view revision) const {
  int count = 0;
  for (const auto& endpoint : runners_.endpoints())
    if (endpoint.service == service && endpoint.revision != revision)
      count += endpoint.inFlight;
  return count;
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
  affinityChoice_.recordPromptLength(promptTokens);
}

void RunnerPool::prefillEnded(int index, std::int64_t promptTokens) {
  auto& endpoint = at(index);
  --endpoint.prefilling;
  endpoint.prefillTokens -= promptTokens;
}

int RunnerPool::choose(const RunnerQuery& query, TimePoint now) {
  const auto candidates = candidatesFor(query, now);
  // A request goes to a zone that is being drained if no other runner is available.
  const auto& usable = candidates.available.empty() ? candidates.zoneDraining : candidates.available;
  if (!usable.empty())
    return query.hasPrefixCache ? affinityChoice_.choose(runners_, query, usable, now, rng_)
                                : leastLoadedChoice_.choose(runners_, query, usable, now, rng_);
  if (candidates.unhealthy.empty())
    return -1;
  // An unhealthy runner may still answer, whereas without a runner the request would certainly be rejected.
  return candidates.unhealthy[rng_() % candidates.unhealthy.size()];
}

RunnerPool::Candidates RunnerPool::candidatesFor(const RunnerQuery& query, TimePoint now) {
  Candidates candidates;
  const bool limited = RevisionLimit::appliesTo(query.revisions);
  const auto withinLimit = limited ? revisionLimit_.selectRunners(runners_, query, now, rng_) : std::vector<int>{};
  if (limited && !revisionLimit_.includesPreferredRunner(runners_, query, withinLimit, affinityChoice_))
    return candidates;
  // The affinity hash decides which requests leave a draining zone. All proxies then move the same prefixes at the same
  // step of the drain, and each prefix is computed again only once and on one runner.
  const auto percentile = static_cast<int>((query.affinity ? query.affinity >> kAffinityShift : rng_()) % kPercent);
  for (int index = 0; index < static_cast<int>(size()); ++index) {
    const auto& endpoint = at(index);
    if (!runners_.isEligible(index, query) || contains(query.excluded, index) || runners_.awaitsWarmupGrant(index, now))
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

// Draws a random number if the runner may be probed by this request.
bool RunnerPool::isUnhealthy(const RunnerEndpoint& endpoint, const RunnerQuery& query, TimePoint now) {
  // After a failure the runner gets one request at a time, so that only one request fails if the runner still does.
  const bool backingOff = endpoint.backoffUntil > now || (endpoint.consecutiveFailures > 0 && endpoint.inFlight > 0);
  if (backingOff || endpoint.ejected >= 1)
    return true;
  if (endpoint.ejected <= 0)
    return false;
  const bool mayProbe = query.idempotent && endpoint.inFlight == 0;
  return !mayProbe || rng_() % kProbeOneIn != 0;
}

}  // namespace zinccleat::balancing
