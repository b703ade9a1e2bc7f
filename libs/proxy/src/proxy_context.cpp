#include "proxy/proxy_context.hpp"

namespace zc {
namespace {
constexpr std::uint64_t kRetrySpreadMs = 120;
constexpr Span kRetryAfterStart{150};  // the least, while the first lease is awaited
constexpr Span kFirstLeaseAfter{800};  // from the start, until the core has a leader after a loss of all
constexpr Span kRetryWithoutLease{500};
}  // namespace

void ProxyContext::countSlow(Instant now) {
  for (auto* a : unanswered) {
    if (!a->countedSlow && now - a->since > observer.patience(*a->service, a->promptTokens)) {
      a->countedSlow = true;
      observer.slow(runners.at(a->runner).id);
    }
  }
}
Span ProxyContext::retryAfterLease(Instant now) {
  const auto spread = Span(rng() % kRetrySpreadMs);
  // Why not sooner: a client has few tries, and one that meets a second refusal is lost. A process that has just
  // started has its first lease as soon as the core has a leader, which after a loss of all takes this long.
  if (leaseEnds == Instant{})
    return std::max(kRetryAfterStart, kFirstLeaseAfter - toSpan(now - startedAt)) + spread;
  return kRetryWithoutLease + spread;
}
void ProxyContext::wakeQuotaWaits(const std::vector<Grant>& grants) {
  for (auto& wait : quotaWaits)
    if (std::any_of(grants.begin(), grants.end(), [&](auto& g) { return g.label == *wait.tenant; }))
      wait.waiter->wake();
}
}  // namespace zc
