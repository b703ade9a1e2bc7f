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
    me.demand = me.demand * 0.8 + (d ? d->rate : 0) * 0.2;
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
    // Why more than the limit: the shares of a limit serve worse than the limit whole, and a window may hold this much.
    // Half of the excess goes to the rate, the rest and most of the slack to the bursts; some is kept for restarts.
    const double allRate = sub.ratePerS * (1 + bounds_.excess * 0.5);
    const double allBurst = sub.burstSize * (1 + bounds_.excess) + sub.ratePerS * bounds_.windowS * bounds_.excess * 0.5 +
                            bounds_.slack * 0.6;
    // Shares follow demand, with an even part so that a node with none so far can begin at once.
    const double even = 1.0 / static_cast<double>(nodes);
    const double part = sum > 0 ? 0.7 * me.demand / sum + 0.3 * even : even;
    double rate = std::min(allRate * part, std::max(0.0, allRate - otherRate));
    double burst = std::min(allBurst * part, std::max(0.0, allBurst - otherBurst));
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
