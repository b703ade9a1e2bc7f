#include "warmup_allocator.hpp"

namespace zinccleat::controller {
namespace {
// Parts of what a runner may get in any second. A grant is used within its lifetime, 0.7 s, so a second holds what the
// bucket refilled in 1.7 s and what it held before: 1.7 x 0.4 + 0.15 = 0.83 of the bound. Where the bound is small the
// bucket holds one all the same, and refills no faster than the runner bears.
constexpr double kRefillPart = 0.4;
constexpr double kCapacityPart = 0.15;
constexpr std::size_t kMaxGrants = 24;  // in one answer
constexpr Duration kKnownWithin{400};   // heartbeats of one warm-up differ by their delay
}  // namespace

void WarmupAllocator::follow(TimePoint now, const state_machine::StateContents& state,
                             const config::Configuration* configuration) {
  // A configuration may take the address of one that is gone: the version tells them apart.
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
  grantsFrom_ = now + transport::kWarmupGrantLifetime;
}
double WarmupAllocator::allowedPerS(const std::string& runner) const {
  return warmups_.requestsPerS(runner) * bounds_.excess + bounds_.slack;
}
double WarmupAllocator::tokensPerS(const std::string& runner) const {
  return std::min(warmups_.requestsPerS(runner), kRefillPart * allowedPerS(runner));
}
double WarmupAllocator::capacity(const std::string& runner) const {
  return std::max(1.0, kCapacityPart * allowedPerS(runner));
}
WarmupAllocator::TokenBucket& WarmupAllocator::refilledBucket(TimePoint now, const std::string& runner) {
  auto& bucket = buckets_[runner];
  // A bucket begins empty: what the runner got before its warm-up was known counts in the same second.
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
  if (limited.empty() || now < grantsFrom_)
    return grants;
  const auto first = nextRunner_++ % limited.size();
  for (std::size_t i = 0; i < limited.size() && grants.size() < kMaxGrants; ++i) {
    const auto& runner = limited[(first + i) % limited.size()];
    auto& bucket = refilledBucket(now, runner);
    // Other zones get what the proxies of the runner's own zone leave.
    const bool isNear = warmups_.zoneOf(runner) == zone;
    const bool mayTake = bucket.tokens >= 1 && (isNear || bucket.tokens >= capacity(runner));
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
  return now + left > warmups_.warmAt(reported.id) + kKnownWithin;
}
}  // namespace zinccleat::controller
