/// Zones and regions, and the drains that are in force in each zone. Pure.
#pragma once
#include <set>

#include "balancing/runner_pool.hpp"
namespace zinccleat::proxy_daemon {
/// The zones of the site, each with its region.
using ZoneToRegion = std::map<std::string, std::string>;
/// The drain of each zone that has one.
using ZoneDrainLevels = std::map<std::string, balancing::RunnerPool::ZoneDrainLevel>;

/// The zones that a name means: the zone itself, or all zones of the region.
std::set<std::string> zonesNamed(const ZoneToRegion& zones, const std::string& name);
/// The drain of each zone; where those of zone and region meet, the stricter one.
ZoneDrainLevels drainLevels(const ZoneToRegion& zones, const std::vector<state_machine::ZoneDrain>& drains);
/// Adds the zones that get nothing at all.
/// @param evacuated zones and regions.
void addEvacuations(ZoneDrainLevels& levels, const ZoneToRegion& zones, const std::vector<std::string>& evacuated);
}  // namespace zinccleat::proxy_daemon
