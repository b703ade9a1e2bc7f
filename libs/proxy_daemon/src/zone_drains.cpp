#include "proxy_daemon/zone_drains.hpp"

namespace zinccleat::proxy_daemon {
std::set<std::string> zonesMatching(const ZoneToRegion& zones, const std::string& name) {
  std::set<std::string> matching;
  for (const auto& [zone, region] : zones)
    if (zone == name || region == name)
      matching.insert(zone);
  return matching;
}
ZoneDrainLevels drainLevels(const ZoneToRegion& zones, const std::vector<state_machine::ZoneDrain>& drains) {
  ZoneDrainLevels levels;
  for (const auto& drain : drains)
    for (const auto& zone : zonesMatching(zones, drain.zone)) {
      auto& level = levels[zone];
      level.drainPercent = std::max(level.drainPercent, static_cast<int>(drain.drainPercent));
      level.migrateStreams = level.migrateStreams || drain.notAccepting;
    }
  return levels;
}
void addEvacuations(ZoneDrainLevels& levels, const ZoneToRegion& zones, const std::vector<std::string>& evacuated) {
  for (const auto& zoneOrRegion : evacuated)
    for (const auto& zone : zonesMatching(zones, zoneOrRegion))
      levels[zone].evacuated = true;
}
}  // namespace zinccleat::proxy_daemon
