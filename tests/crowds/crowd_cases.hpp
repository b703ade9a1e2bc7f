/// @file
/// The cases of `zinccleat_crowds`: which crowds meet which port.
#pragma once
#include <optional>
#include <string>
#include <vector>

#include "crowd.hpp"
namespace zinccleat::crowds {
/// A port of the fleet's processes.
enum class Port : std::uint8_t { access, control, readiness, agent, consensus, coordination, counters };
/// A crowd at one port.
struct CrowdAtPort {
  Port port = Port::access;
  CrowdPlan plan;
};
/// Crowds that are there at the same time.
struct CrowdCase {
  std::string name;
  std::vector<CrowdAtPort> crowds;
};
/// All cases, in a fixed order.
std::vector<CrowdCase> allCases();
}  // namespace zinccleat::crowds
