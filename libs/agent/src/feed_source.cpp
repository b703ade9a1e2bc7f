#include "agent/feed_source.hpp"

namespace zinccleat::agent {
void FeedSource::setMembers(const std::vector<transport::MemberZone>& members) {
  if (members.empty())
    return;
  inZone_.clear();
  for (const auto& member : members)
    if (!zone_.empty() && member.zone == zone_)
      inZone_.insert(member.address);
}
std::string FeedSource::memberInZone(TimePoint now) const {
  std::string best;
  for (const auto& address : inZone_) {
    const auto avoided = avoidedSince_.find(address);
    if (avoided != avoidedSince_.end() && now - avoided->second < kAvoidTime)
      continue;
    if (best.empty() || hash64(address, seed_) > hash64(best, seed_))
      best = address;
  }
  return best;
}
std::string FeedSource::choose(TimePoint now, const std::string& leader,
                               const std::function<bool(const std::string&)>& isConnected) const {
  if (inZone_.contains(leader) && isConnected(leader))
    return leader;
  if (const auto nearby = memberInZone(now); !nearby.empty() && isConnected(nearby))
    return nearby;
  return !leader.empty() && isConnected(leader) ? leader : std::string();
}
}  // namespace zinccleat::agent
