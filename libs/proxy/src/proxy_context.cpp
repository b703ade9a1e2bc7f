#include "proxy/proxy.hpp"

namespace zc {
void ProxyContext::blameSilent(Instant now) {
  for (auto* a : silent)
    if (!a->blamed && now - a->since > observer.patience(*a->service, a->tokens)) {
      a->blamed = true;
      observer.slow(runnerPool.at(a->dock).id);
    }
}
Span ProxyContext::untilLease(Instant now) {
  const auto spread = Span(rng() % 120);
  // Why not sooner: a client has few tries, and one that meets a second refusal is lost. A process that has just
  // started has its first lease as soon as the core has a leader, which after a loss of all takes this long.
  if (leaseEnds == Instant{})
    return std::max(Span(150), Span(800) - toSpan(now - born)) + spread;
  return Span(500) + spread;
}
}  // namespace zc
