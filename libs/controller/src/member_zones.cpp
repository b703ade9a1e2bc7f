#include "member_zones.hpp"

namespace zinccleat::controller {
bool MemberZones::record(const std::string& address, const std::string& zone, TimePoint now) {
  if (zone.empty() || address == address_)
    return false;
  const auto known = others_.find(address);
  const bool wasUp = known != others_.end() && known->second.zone == zone && now - known->second.heardAt <= kLifetime;
  others_[address] = {zone, now};
  return !wasUp;
}
std::vector<transport::MemberZone> MemberZones::membersUp(TimePoint now) const {
  std::map<std::string, std::string> zones{{address_, zone_}};
  for (const auto& [address, other] : others_)
    if (now - other.heardAt <= kLifetime)
      zones[address] = other.zone;
  std::vector<transport::MemberZone> members;
  members.reserve(zones.size());
  for (const auto& [address, zone] : zones)
    members.push_back({address, zone});
  return members;
}
std::optional<std::string> MemberZones::addressIn(const std::string& zone, TimePoint now) const {
  if (zone == zone_)
    return address_;
  for (const auto& [address, other] : others_)
    if (other.zone == zone && now - other.heardAt <= kLifetime)
      return address;
  return std::nullopt;
}
}  // namespace zinccleat::controller
