#include "warmup_allocator.hpp"

namespace zinccleat::controller {
namespace {
// Refill rate and bucket capacity as fractions of the bound per second. A grant is used within its lifetime of 0.7 s,
// so the grants used in one second come from the refill of 1.7 s and the tokens held before: 1.7 x 0.4 + 0.15 = 0.83 of
// the bound. If the bound is small, the bucket still holds one token, and it never refills faster than the runner's
// configured warm-up rate.
constexpr double kRefillFraction = 0.4;
constexpr double kCapacityFraction = 0.15;
constexpr std::size_t kMaxGrants = 24;        // maximum number of grants in one answer
constexpr Duration kWarmupEndTolerance{400};  // reported ends of one warm-up differ by the delay of the heartbeats
}  // namespace

void WarmupAllocator::follow(TimePoint now, const state_machine::StateContents& state,
                             const config::Configuration* configuration) {
  // A new configuration may be allocated at the address of a freed one, so configurations are compared by version.
  if (configuration && configuration->version != followedVersion_) {
    warmups_.followServices(configuration->services);
    followedVersion_ = configuration->version;
  }
  if (std::exchange(followedIndex_, state.index) == state.index)
    return;
  followRunners(now, state.runners);
  warmups_.followEvacuations(state.evacuatedZones, zoneToRegion_, now);
}
void WarmupAllocator::followRunners(TimePoint now, const state_machine::RunnerTable& runners) {
  const auto changed = runners.changedSince(std::exchange(followedRunners_, runners.revision()));
  if (!changed)
    return warmups_.followRunners(runners, now);
  for (const auto& id : *changed) {
    if (const auto* runner = runners.find(id))
      warmups_.followRunner(*runner, now);
    else
      warmups_.forgetRunner(id);
  }
}
void WarmupAllocator::startTerm(TimePoint now) {
  buckets_.clear();
  grantsAllowedFrom_ = now + transport::kWarmupGrantLifetime;
}
double WarmupAllocator::allowedPerS(const std::string& runner) const {
  return warmups_.requestsPerS(runner) * bounds_.excess + bounds_.slack;
}
double WarmupAllocator::tokensPerS(const std::string& runner) const {
  return std::min(warmups_.requestsPerS(runner), kRefillFraction * allowedPerS(runner));
}
double WarmupAllocator::capacity(const std::string& runner) const {
  return std::max(1.0, kCapacityFraction * allowedPerS(runner));
}
WarmupAllocator::TokenBucket& WarmupAllocator::refilledBucket(TimePoint now, const std::string& runner) {
  auto& bucket = buckets_[runner];
  // A bucket starts empty, because requests that the runner received before its warm-up was known count towards the
  // same second.
  if (bucket.refilledAt != TimePoint{}) {
    const auto seconds = std::chrono::duration<double>(now - bucket.refilledAt).count();
    bucket.tokens = std::min(capacity(runner), bucket.tokens + seconds * tokensPerS(runner));
  }
  bucket.refilledAt = now;
  return bucket;
}
std::vector<transport::WarmupGrant> WarmupAllocator::allocate(TimePoint now, const std::string& zone) {
  std::vector<transport::WarmupGrant> grants;
  const auto limited = warmups_.limitedRunners(now);
  if (limited.empty())
    buckets_.clear();
  if (limited.empty() || now < grantsAllowedFrom_)
    return grants;
  const auto first = nextRunner_++ % limited.size();
  for (std::size_t i = 0; i < limited.size() && grants.size() < kMaxGrants; ++i) {
    const auto& runner = limited[(first + i) % limited.size()];
    auto& bucket = refilledBucket(now, runner);
    // Proxies of other zones get a grant only from a full bucket, which the proxies of the runner's zone have not used.
    const bool isInRunnerZone = warmups_.zoneOf(runner) == zone;
    const bool mayTake = bucket.tokens >= 1 && (isInRunnerZone || bucket.tokens >= capacity(runner));
    if (!mayTake)
      continue;
    bucket.tokens -= 1;
    grants.push_back({runner, 1});
  }
  return grants;
}
bool WarmupAllocator::isChangedBy(TimePoint now, const state_machine::Runner& reported) const {
  if (warmups_.requestsPerS(reported.id) <= 0)
    return false;
  const Duration left(reported.software.warmupMs);
  if (left <= Duration(0))
    return warmups_.hasAnnouncedWarmup(reported.id);
  return now + left > warmups_.warmAt(reported.id) + kWarmupEndTolerance;
}
}  // namespace zinccleat::controller
