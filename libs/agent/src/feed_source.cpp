#include "agent/feed_source.hpp"

namespace zinccleat::agent {
void FeedSource::setMembers(const std::vector<transport::MemberZone>& members, TimePoint now) {
  if (members.empty())
    return;
  knowsMembers_ = true;
  for (const auto& member : members)
    if (!zone_.empty() && member.zone == zone_)
      zoneMembers_.try_emplace(member.address, ZoneMember{now, now}).first->second.listedAt = now;
  // A new leader may not have received messages from all members yet, so a member that is absent from its first lists
  // may still be up.
  std::erase_if(zoneMembers_, [now](const auto& entry) { return now - entry.second.listedAt >= kRetentionTime; });
}
bool FeedSource::isStalled(TimePoint now, Duration stalledFor, const Activity& source) {
  const bool silent = now - source.lastReceivedAt >= kStallTimeout;
  if (silent)
    return stalledFor >= kStallTimeout;
  return stalledFor >= (source.hasMissingEntries ? kTransferTimeout : kIsolationTimeout);
}
std::string FeedSource::memberInZone(TimePoint now) const {
  std::string selected;
  for (const auto& [address, member] : zoneMembers_) {
    const auto avoided = avoidedSince_.find(address);
    if (avoided != avoidedSince_.end() && now - avoided->second < kAvoidTime)
      continue;
    if (selected.empty() || hash64(address, seed_) > hash64(selected, seed_))
      selected = address;
  }
  return selected;
}
std::string FeedSource::choose(TimePoint now, const std::string& leader, const std::string& currentSource,
                               const std::function<bool(const std::string&)>& isConnected) const {
  const auto isUsable = [&](const std::string& address) { return !address.empty() && isConnected(address); };
  if (zoneMembers_.contains(leader) && isConnected(leader))
    return leader;
  auto zoneMember = memberInZone(now);
  if (isUsable(zoneMember))
    return zoneMember;
  // While the connection to a new member of the zone is being established, the agent waits for it. Otherwise the agent
  // would first request all missing entries, at its start the complete state, from the leader.
  const bool connecting = !zoneMember.empty() && now - zoneMembers_.at(zoneMember).knownSince < kStallTimeout;
  if (connecting)
    return isUsable(currentSource) ? currentSource : std::string();
  return isUsable(leader) ? leader : std::string();
}
}  // namespace zinccleat::agent
