/// Resolves zones and regions, and computes the drain that applies to each zone. Pure.
#pragma once
#include <set>

#include "balancing/runner_pool.hpp"
namespace zinccleat::proxy_daemon {
/// Maps each zone of the site to its region.
using ZoneToRegion = std::map<std::string, std::string>;
/// Maps each drained or evacuated zone to its drain level.
using ZoneDrainLevels = std::map<std::string, balancing::RunnerPool::ZoneDrainLevel>;

/// Returns the zones that a name refers to: one zone, or all zones of a region. Empty if the name is unknown.
std::set<std::string> zonesMatching(const ZoneToRegion& zones, const std::string& name);
/// Computes the drain level of each zone. If several drains apply to a zone, such as one of the zone and one of its
/// region, the strictest value of each field applies.
ZoneDrainLevels drainLevels(const ZoneToRegion& zones, const std::vector<state_machine::ZoneDrain>& drains);
/// Marks the zones that must receive no requests as evacuated.
/// @param evacuated names of zones and regions.
void addEvacuations(ZoneDrainLevels& levels, const ZoneToRegion& zones, const std::vector<std::string>& evacuated);
}  // namespace zinccleat::proxy_daemon
