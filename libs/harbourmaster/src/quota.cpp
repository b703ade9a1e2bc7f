#include "quota.hpp"

#include <cmath>

namespace zc {
void QuotaDesk::takeOver(Instant now) {
  desk_.clear();
  sureFrom_ = now + life;
}
std::vector<Grant> QuotaDesk::grant(Instant now, const std::string& node, const std::vector<Grant>& demand,
                                    const std::vector<Grant>& holds, const Configuration* cfg) {
  std::vector<Grant> out;
  if (!cfg) return out;
  auto find = [](const std::vector<Grant>& v, const std::string& l) -> const Grant* {
    for (auto& g : v)
      if (g.label == l) return &g;
    return nullptr;
  };
  for (auto& sub : cfg->subscribers) {
    if (sub.ratePerS <= 0) continue;
    auto& desk = desk_[sub.label];
    auto& me = desk[node];
    const auto* d = find(demand, sub.label);
    me.demand = me.demand * 0.6 + (d ? d->rate : 0) * 0.4;
    const auto* h = find(holds, sub.label);
    // Why the older one is dead: the holder says that it has the newest.
    if (h && std::abs(h->rate - me.rate) < 1e-9 && std::abs(h->burst - me.burst) < 1e-9) me.oldUntil = {};
    if (h && me.until == Instant{}) {
      // Told by the holder itself after a take-over: it is live until it is renewed or ends.
      me.rate = h->rate, me.burst = h->burst, me.until = now + life;
    }
    double sum = 0, otherRate = 0, otherBurst = 0;
    std::size_t nodes = 0;
    for (auto it = desk.begin(); it != desk.end();) {
      auto& x = it->second;
      if (it->first != node && x.until <= now) {
        it = desk.erase(it);
        continue;
      }
      ++nodes;
      sum += x.demand;
      if (it->first != node) {
        otherRate += x.oldUntil > now ? std::max(x.rate, x.oldRate) : x.rate;
        otherBurst += x.oldUntil > now ? std::max(x.burst, x.oldBurst) : x.burst;
      }
      ++it;
    }
    // Shares follow demand, with an even part so that a node with none so far can begin at once.
    const double even = 1.0 / static_cast<double>(nodes);
    const double part = sum > 0 ? 0.75 * me.demand / sum + 0.25 * even : even;
    double rate = std::min(sub.ratePerS * part, std::max(0.0, sub.ratePerS - otherRate));
    double burst = std::min(sub.burstSize * part, std::max(0.0, sub.burstSize - otherBurst));
    if (now < sureFrom_) {
      // Grants of the sequencer before may live unseen: nobody gets more than it already holds.
      rate = std::min(rate, me.rate);
      burst = std::min(burst, me.burst);
    }
    if (me.until > now) {
      me.oldRate = std::max(me.rate, me.oldUntil > now ? me.oldRate : 0.0);
      me.oldBurst = std::max(me.burst, me.oldUntil > now ? me.oldBurst : 0.0);
      me.oldUntil = std::max(me.until, me.oldUntil);
    }
    me.rate = rate;
    me.burst = burst;
    me.until = now + life;
    out.push_back({sub.label, rate, burst});
  }
  return out;
}
}  // namespace zc
