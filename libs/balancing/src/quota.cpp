#include "balancing/quota.hpp"

namespace zinccleat::balancing {
namespace {
constexpr auto kBetweenDraws = 60ms;
constexpr auto kCount = 300ms;
constexpr double kSteady = 0.7;  // requests a second from which a stash pays: below it most of its tokens would expire
}  // namespace
bool QuotaGrants::busy(const TokenBucket& p) {
  return p.steady >= kSteady;
}
void QuotaGrants::drawn(const std::vector<transport::QuotaGrant>& gs, TimePoint asked) {
  for (auto& g : gs) {
    auto& p = buckets_[g.tenant];
    // Why from the asking: the purse counts them from its answer, which came later.
    if (asked - p.told > life)
      p.tokens = 0;
    p.tokens += g.tokens;
    p.hint = g.secondsUntilMore;
    p.told = asked;
    p.heard = std::max(p.heard, asked);
  }
}
void QuotaGrants::loose(const std::vector<transport::QuotaGrant>& gs, TimePoint now) {
  heard_ = now;
  for (auto& g : gs) {
    auto& p = buckets_[g.tenant];
    if (now - p.freed > immediateTokenLifetime)
      p.free = 0;
    p.free += g.tokens;
    p.freed = p.heard = now;
    p.hint = g.secondsUntilMore;
  }
}
bool QuotaGrants::take(const std::string& label, TimePoint now) {
  ++buckets_[label].asked;
  return retake(label, now);
}
bool QuotaGrants::retake(const std::string& label, TimePoint now) {
  auto& p = buckets_[label];
  if (now - p.freed > immediateTokenLifetime)
    p.free = 0;
  if (now - p.told > life)
    p.tokens = 0;
  // The ones that end sooner go first.
  auto& from = p.free >= 1 ? p.free : p.tokens;
  if (from < 1)
    return false;
  from -= 1;
  return true;
}
bool QuotaGrants::low(const std::string& label, TimePoint now) {
  const auto& p = buckets_[label];
  if (!busy(p))
    return false;
  if (p.tokens >= 1 + p.perS * 0.25 && now - p.told <= life)
    return false;
  if (now - lastLow_ < kBetweenDraws)
    return false;
  lastLow_ = now;
  return true;
}
void QuotaGrants::unwait(const std::string& label) {
  auto& p = buckets_[label];
  if (p.unasked > 0)
    --p.unasked;
}
std::vector<transport::QuotaDemand> QuotaGrants::unasked() {
  std::vector<transport::QuotaDemand> out;
  for (auto& [l, p] : buckets_)
    if (p.unasked > 0)
      out.push_back({l, 0, static_cast<double>(std::exchange(p.unasked, 0))});
  return out;
}
Duration QuotaGrants::hint(const std::string& label, TimePoint now) const {
  const auto it = buckets_.find(label);
  // Why longer without news: nobody gives tokens out just now, and a second refusal is worse than a late answer.
  const bool news = it != buckets_.end() && now - it->second.heard < 700ms;
  const double s = news ? it->second.hint : 0.5;
  return Duration(static_cast<std::int64_t>(std::clamp(s, 0.1, 1.0) * 1000));
}
Duration QuotaGrants::until(const std::string& label) const {
  const auto it = buckets_.find(label);
  return Duration(static_cast<std::int64_t>((it == buckets_.end() ? 0.05 : it->second.hint) * 1000));
}
std::vector<transport::QuotaDemand> QuotaGrants::demand(TimePoint now) {
  const auto dt = now - counted_;
  if (dt >= kCount) {
    const double s = std::min(5.0, std::chrono::duration<double>(dt).count());
    for (auto it = buckets_.begin(); it != buckets_.end();) {
      auto& p = it->second;
      p.perS = p.perS * 0.7 + p.asked / s * 0.3;
      p.steady = p.steady * 0.95 + p.asked / s * 0.05;
      p.asked = 0;
      // Whoever has not been heard of for long is forgotten.
      const bool idle = p.steady < 0.005 && p.unasked == 0 && now - p.told > life && now - p.freed > life;
      if (idle)
        it = buckets_.erase(it);
      else
        ++it;
    }
    counted_ = now;
  }
  std::vector<transport::QuotaDemand> out;
  for (auto& [l, p] : buckets_)
    if (busy(p))
      out.push_back({l, p.perS, 0});
  return out;
}
std::vector<transport::QuotaHolding> QuotaGrants::holds(TimePoint now) const {
  std::vector<transport::QuotaHolding> out;
  for (auto& [l, p] : buckets_)
    if (busy(p) && now - p.told <= life && p.tokens > 0)
      out.push_back({l, p.tokens, 0});
  return out;
}
}  // namespace zinccleat::balancing
