#include "agent/feed_source.hpp"

namespace zinccleat::agent {
void FeedSource::setMembers(const std::vector<transport::MemberZone>& members, TimePoint now) {
  if (members.empty())
    return;
  knowsMembers_ = true;
  for (const auto& member : members)
    if (!zone_.empty() && member.zone == zone_)
      inZone_.try_emplace(member.address, ZoneMember{now, now}).first->second.listedAt = now;
  // A new leader may not have received messages from all members yet, so a member that is absent from its first lists
  // may still be up.
  std::erase_if(inZone_, [now](const auto& entry) { return now - entry.second.listedAt >= kRetentionTime; });
}
bool FeedSource::isStalled(TimePoint now, Duration stalledFor, const Activity& source) {
  const bool silent = now - source.lastReceivedAt >= kStallTimeout;
  if (silent)
    return stalledFor >= kStallTimeout;
  return stalledFor >= (source.hasMissingEntries ? kTransferTimeout : kIsolationTimeout);
}
std::string FeedSource::memberInZone(TimePoint now) const {
  std::string best;
  for (const auto& [address, member] : inZone_) {
    const auto avoided = avoidedSince_.find(address);
    if (avoided != avoidedSince_.end() && now - avoided->second < kAvoidTime)
      continue;
    if (best.empty() || hash64(address, seed_) > hash64(best, seed_))
      best = address;
  }
  return best;
}
std::string FeedSource::choose(TimePoint now, const std::string& leader, const std::string& present,
                               const std::function<bool(const std::string&)>& isConnected) const {
  const auto isUsable = [&](const std::string& address) { return !address.empty() && isConnected(address); };
  if (inZone_.contains(leader) && isConnected(leader))
    return leader;
  auto nearby = memberInZone(now);
  if (isUsable(nearby))
    return nearby;
  // While the connection to a new member of the zone is being established, the agent waits for it. Otherwise the agent
  // would first request all missing entries, at its start the complete state, from the leader.
  const bool connecting = !nearby.empty() && now - inZone_.at(nearby).knownSince < kStallTimeout;
  if (connecting)
    return isUsable(present) ? present : std::string();
  return isUsable(leader) ? leader : std::string();
}
}  // namespace zinccleat::agent
