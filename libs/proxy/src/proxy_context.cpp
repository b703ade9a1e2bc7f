#include "proxy/proxy_context.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::uint64_t kRetrySpreadMs = 120;
constexpr Duration kMinRetryAfterAtStart{150};
// Time from the start of the process until it has its first lease if all members restart and elect a leader.
constexpr Duration kExpectedFirstLease{800};
constexpr Duration kRetryAfterWithoutLease{500};
}  // namespace

void ProxyContext::recordSlowAttempts(TimePoint now) {
  for (auto* attempt : pendingAttempts) {
    if (attempt->countedSlow)
      continue;
    if (now - attempt->startedAt <= observer.slowThreshold(*attempt->service, attempt->promptTokens))
      continue;
    attempt->countedSlow = true;
    observer.recordSlow(runners.at(attempt->runner).id);
  }
}

Duration ProxyContext::retryAfterWithoutLease(TimePoint now) {
  const auto spread = Duration(rng() % kRetrySpreadMs);
  // A client makes only a few attempts, so a second rejection must be unlikely. A process that has just started gets
  // its first lease as soon as a leader has been elected.
  if (leaseExpiresAt == TimePoint{})
    return std::max(kMinRetryAfterAtStart, kExpectedFirstLease - toDuration(now - startedAt)) + spread;
  return kRetryAfterWithoutLease + spread;
}

void ProxyContext::wakeQuotaWaiters(const std::vector<transport::QuotaGrant>& grants) {
  for (auto& waiting : quotaWaiters) {
    const bool granted =
        std::any_of(grants.begin(), grants.end(), [&](const auto& grant) { return grant.tenant == *waiting.tenant; });
    if (granted)
      waiting.waiter->wake();
  }
}
}  // namespace zinccleat::proxy
