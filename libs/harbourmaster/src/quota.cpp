#include "quota.hpp"

namespace zc {
namespace {
constexpr auto kStashLives = 4s;  // a node not heard from for so long has used or lost what it held
const Grant* find(const std::vector<Grant>& v, const std::string& l) {
  for (auto& g : v)
    if (g.label == l) return &g;
  return nullptr;
}
}  // namespace
void QuotaDesk::takeOver(Instant now) {
  purses_.clear();
  since_ = now;
}
std::vector<Grant> QuotaDesk::draw(Instant now, const std::string& node, const std::vector<Grant>& demand,
                                   const std::vector<Grant>& holds, const Configuration* cfg) {
  std::vector<Grant> out;
  if (!cfg) return out;
  for (auto& sub : cfg->subscribers) {
    if (sub.ratePerS <= 0) continue;
    const auto* d = find(demand, sub.label);
    if (!d) continue;
    const auto* h = find(holds, sub.label);
    auto& p = purses_[sub.label];
    if (p.at == Instant{}) p.at = since_, p.tokens = bounds_.slack * 0.2;
    // Half of the excess goes to the rate; the rest, with most of the slack, to what may be used at once:
    // two parts of it in the purse, three in the stashes.
    const double rate = sub.ratePerS * (1 + bounds_.excess * 0.4);
    const double room = sub.burstSize * (1 + bounds_.excess) + sub.ratePerS * bounds_.windowS * bounds_.excess * 0.5 +
                        bounds_.slack * 0.7;
    p.tokens = std::min(room * 0.4, p.tokens + std::chrono::duration<double>(now - p.at).count() * rate);
    p.at = now;
    double held = 0;
    for (auto it = p.stashes.begin(); it != p.stashes.end();)
      if (now - it->second.told > kStashLives) it = p.stashes.erase(it);
      else held += it->first == node ? 0 : it->second.tokens, ++it;
    const double mine = h ? h->rate : 0;
    // First what waits now, then what keeps the node going for a while, as far as the stashes have room.
    const double now_ = d->burst;
    const double wish = std::min(d->rate * stashFor + 1, std::max(0.0, room * 0.6 - held));
    const double give = std::min(p.tokens, std::max(0.0, now_ + wish - mine));
    p.tokens -= give;
    auto& s = p.stashes[node];
    s.tokens = std::max(0.0, mine + give - now_);
    s.told = now;
    // Who is told to come back must find something: those still unserved here stand before it.
    out.push_back({sub.label, give, std::max(0.05, (1 - p.tokens + 2 * std::max(0.0, now_ - give)) / rate)});
  }
  return out;
}
}  // namespace zc
