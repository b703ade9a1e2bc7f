#include "quota.hpp"

#include <cmath>

namespace zinccleat::controller {
namespace {
constexpr auto kReserveLifetime = 4s;   // a node not heard from for so long has used or lost what it held
constexpr auto kUnknownLives = 4500ms;  // after a take-over: until every stash is told of again or has ended
const transport::QuotaHolding* find(const std::vector<transport::QuotaHolding>& holdings, const std::string& tenant) {
  for (auto& holding : holdings)
    if (holding.tenant == tenant)
      return &holding;
  return nullptr;
}
}  // namespace
void QuotaAllocator::noOp(TimePoint now) {
  buckets_.clear();
  since_ = now;
}
const config::Subscriber* QuotaAllocator::tenant(const config::Configuration& cfg, const std::string& label) {
  if (indexed_ != &cfg || indexedVersion_ != cfg.version) {
    byLabel_.clear();
    for (std::size_t i = 0; i < cfg.subscribers.size(); ++i)
      byLabel_[cfg.subscribers[i].label] = static_cast<int>(i);
    indexed_ = &cfg;
    indexedVersion_ = cfg.version;
  }
  const auto it = byLabel_.find(label);
  return it == byLabel_.end() ? nullptr : &cfg.subscribers[static_cast<std::size_t>(it->second)];
}
std::vector<transport::QuotaGrant> QuotaAllocator::draw(TimePoint now, const std::string& node,
                                                        const std::vector<transport::QuotaDemand>& demand,
                                                        const std::vector<transport::QuotaHolding>& holds,
                                                        const config::Configuration* cfg) {
  std::vector<transport::QuotaGrant> out;
  if (!cfg)
    return out;
  for (auto& d : demand) {
    const auto* sub = tenant(*cfg, d.tenant);
    if (!sub || sub->ratePerS <= 0)
      continue;
    auto& p = buckets_[d.tenant];
    if (p.at == TimePoint{})
      p.at = since_, p.tokens = bounds_.slack * 0.2;
    // A part of the excess goes to the rate; the rest, with most of the slack, to what may be used at once, in the
    // purse and in the holders together.
    const double rate = sub->ratePerS * (1 + bounds_.excess * 0.3);
    const double room = sub->burstSize * (1 + bounds_.excess) + sub->ratePerS * bounds_.windowS * bounds_.excess * 0.5 +
                        bounds_.slack * 0.7;
    const auto* h = find(holds, d.tenant);
    const double mine = h ? h->tokens : 0;
    double held = 0;  // by the others
    for (auto it = p.holders.begin(); it != p.holders.end();)
      if (now - it->second.told > kReserveLifetime)
        it = p.holders.erase(it);
      else
        held += it->first == node ? 0 : it->second.tokens, ++it;
    const bool reserve = d.requestsPerS > 0 || h;
    if (reserve)
      p.holders[node] = {mine, now};
    else if (const auto it = p.holders.find(node); it != p.holders.end())
      held += it->second.tokens;
    // Why less after a take-over: holders that nobody has told of yet may still be out there.
    const double most =
        now - since_ < kUnknownLives ? room * 0.4 : std::max(room * 0.4, room - held - (reserve ? mine : 0));
    p.tokens = std::min(most, p.tokens + std::chrono::duration<double>(now - p.at).count() * rate);
    p.at = now;
    // First what waits now, then what keeps the node going for a while, as far as the holders have room.
    const double waiting = std::max(0.0, d.waitingRequests);
    const double first = std::min(std::floor(p.tokens + 1e-9), waiting);
    p.tokens -= first;
    double more = 0;
    if (d.requestsPerS > 0) {
      const double wish = std::min(d.requestsPerS * reserveFor + 1, std::max(0.0, room * 0.6 - held));
      more = std::min(p.tokens, std::max(0.0, wish - mine));
      p.tokens -= more;
      p.holders[node].tokens = mine + more;
    }
    // Who is told to come back must find something: those still unserved here stand before it.
    out.push_back({d.tenant, first + more, std::max(0.05, (1 - p.tokens + 2 * (waiting - first)) / rate)});
  }
  return out;
}
}  // namespace zinccleat::controller
