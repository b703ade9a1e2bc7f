/// @file
/// The cases of `zinccleat_crowds`: which crowds meet which port.
#pragma once
#include <limits>
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
/// How the ordinary callers of a case call.
struct OrdinaryCallers {
  std::size_t bodyBytes = 4;  ///< at the access port
  /// If positive, callers wait for this time after the crowd has sent, and their first attempt must be answered.
  Duration firstAttemptAfter{0};
};
/// Crowds that are there at the same time.
struct CrowdCase {
  std::string name;
  std::vector<CrowdAtPort> crowds;
  OrdinaryCallers callers{};
  /// The most bytes that a process may take from one connection, with what the platform holds on both sides.
  std::size_t maxTakenBytes = std::numeric_limits<std::size_t>::max();
};
/// The path at the access port to which the runner of `zinccleat_crowds` sends a large answer.
inline constexpr const char* kLargeAnswerPath = "/safe/large";
/// All cases, in a fixed order.
std::vector<CrowdCase> allCases();
}  // namespace zinccleat::crowds
