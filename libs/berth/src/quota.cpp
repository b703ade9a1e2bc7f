#include "berth/quota.hpp"

namespace zc {
namespace {
constexpr auto kBetweenDraws = 60ms;
constexpr auto kCount = 300ms;
}  // namespace
void QuotaStash::drawn(const std::vector<Grant>& gs, Instant now) {
  for (auto& g : gs) {
    auto& p = purses_[g.label];
    if (now - p.told > life) p.tokens = 0;
    p.tokens += g.rate;
    p.hint = g.burst;
    p.told = now;
  }
}
bool QuotaStash::take(const std::string& label, Instant now) {
  auto& p = purses_[label];
  ++p.asked;
  if (now - p.told > life) p.tokens = 0;
  if (p.tokens < 1) return false;
  p.tokens -= 1;
  return true;
}
bool QuotaStash::low(const std::string& label, Instant now) {
  const auto& p = purses_[label];
  if (p.tokens >= 1 + p.perS * 0.25 && now - p.told <= life) return false;
  if (now - lastLow_ < kBetweenDraws) return false;
  lastLow_ = now;
  return true;
}
Span QuotaStash::hint(const std::string& label, Instant now) const {
  const auto it = purses_.find(label);
  // Why longer without news: nobody gives tokens out just now, and a second refusal is worse than a late answer.
  const bool news = it != purses_.end() && now - it->second.told < 700ms;
  const double s = news ? it->second.hint : 0.5;
  return Span(static_cast<std::int64_t>(std::clamp(s, 0.1, 1.0) * 1000));
}
std::vector<Grant> QuotaStash::demand(const std::vector<std::string>& labels, Instant now) {
  const auto dt = now - counted_;
  if (dt >= kCount) {
    const double s = std::min(5.0, std::chrono::duration<double>(dt).count());
    for (auto& [l, p] : purses_) {
      p.perS = p.perS * 0.7 + p.asked / s * 0.3;
      p.asked = 0;
    }
    counted_ = now;
  }
  std::vector<Grant> out;
  for (auto& l : labels) {
    const auto& p = purses_[l];
    out.push_back({l, p.perS, static_cast<double>(p.waiting)});
  }
  return out;
}
std::vector<Grant> QuotaStash::holds(Instant now) const {
  std::vector<Grant> out;
  for (auto& [l, p] : purses_)
    if (now - p.told <= life && p.tokens > 0) out.push_back({l, p.tokens, 0});
  return out;
}
}  // namespace zc
