#include "proxy/proxy_context.hpp"

namespace zinccleat::proxy {
namespace {
constexpr std::uint64_t kRetrySpreadMs = 120;
constexpr Duration kRetryAfterStart{150};  // the least, while the first lease is awaited
constexpr Duration kFirstLeaseAfter{800};  // from the start, until the core has a leader after a loss of all
constexpr Duration kRetryWithoutLease{500};
}  // namespace

void ProxyContext::countSlow(TimePoint now) {
  for (auto* a : unanswered) {
    if (!a->countedSlow && now - a->since > observer.patience(*a->service, a->promptTokens)) {
      a->countedSlow = true;
      observer.slow(runners.at(a->runner).id);
    }
  }
}
Duration ProxyContext::retryAfterLease(TimePoint now) {
  const auto spread = Duration(rng() % kRetrySpreadMs);
  // Why not sooner: a client has few tries, and one that meets a second refusal is lost. A process that has just
  // started has its first lease as soon as the core has a leader, which after a loss of all takes this long.
  if (leaseEnds == TimePoint{})
    return std::max(kRetryAfterStart, kFirstLeaseAfter - toDuration(now - startedAt)) + spread;
  return kRetryWithoutLease + spread;
}
void ProxyContext::wakeQuotaWaits(const std::vector<transport::QuotaGrant>& grants) {
  for (auto& wait : quotaWaits)
    if (std::any_of(grants.begin(), grants.end(), [&](auto& g) { return g.tenant == *wait.tenant; }))
      wait.waiter->wake();
}
}  // namespace zinccleat::proxy
