#include "berth/quota.hpp"

namespace zc {
void QuotaShare::granted(const std::vector<Grant>& gs, Instant asked, Instant now) {
  for (auto& g : gs) {
    auto& b = buckets_[g.label];
    // Why not full: another life of this process may just have spent them.
    if (!b.known) b.tokens = g.burst * 0.3, b.at = now;
    if (b.until < now) b.at = now;  // nothing grew while no grant lived
    b.known = true;
    const auto dt = std::chrono::duration<double>(now - b.at).count();
    b.tokens = std::min(b.tokens + dt * b.rate, std::max(b.burst, 1.0));
    b.at = now;
    b.rate = g.rate;
    b.burst = g.burst;
    b.tokens = std::min(b.tokens, std::max(g.burst, 1.0));
    b.until = asked + life;
  }
}
Span QuotaShare::take(const std::string& label, Instant now) {
  auto& b = buckets_[label];
  ++b.asked;
  if (!b.known || b.until <= now) return Span(400);
  const auto dt = std::chrono::duration<double>(now - b.at).count();
  b.tokens = std::min(b.tokens + dt * b.rate, std::max(b.burst, 1.0));
  b.at = now;
  if (b.tokens >= 1) {
    b.tokens -= 1;
    return Span(0);
  }
  if (b.rate <= 0.01) return Span(1000);
  return Span(1 + static_cast<std::int64_t>(std::min(1000.0, (1 - b.tokens) / b.rate * 1000)));
}
std::vector<Grant> QuotaShare::demand(Instant now) {
  std::vector<Grant> out;
  const double dt = counted_ == Instant{} ? 1.0 : std::max(0.05, std::chrono::duration<double>(now - counted_).count());
  counted_ = now;
  for (auto& [l, b] : buckets_) {
    out.push_back({l, b.asked / dt, 0});
    b.asked = 0;
  }
  return out;
}
std::vector<Grant> QuotaShare::holds(Instant now) const {
  std::vector<Grant> out;
  for (auto& [l, b] : buckets_)
    if (b.known && b.until > now) out.push_back({l, b.rate, b.burst});
  return out;
}
}  // namespace zc
