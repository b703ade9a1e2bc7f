/// What a scale run measured, and the two forms in which it is printed: a JSON object on one line, which other tools
/// read, and a table for people.
#pragma once
#include <cstdio>

#include "control_calls.hpp"
#include "simulation/plan.hpp"
namespace zinccleat::simulation {
/// One process of the fleet.
struct ProcessUsage {
  std::string name;
  std::string role;  ///< "leads" or "follows" for a controller that answered, else empty
  double cores = 0;  ///< processor time a second
  double peakMb = 0;
};
/// Bytes a second and hollow node of one type of message, as the node sees them.
struct MessageTraffic {
  const char* name = "";
  double sent = 0;
  double received = 0;
};
/// What one change of the configuration costs a process, apart from its way there.
struct ConfigurationCost {
  std::size_t bytes = 0;
  std::size_t deltaBytes = 0;  ///< of a change of one access key
  double parseMs = 0;
  double computeDeltaMs = 0;
  double applyDeltaMs = 0;
};
struct ScaleRunReport {
  ScaleRunPlan plan;
  double seconds = 0;  ///< measured
  std::vector<ProcessUsage> processes;
  std::vector<MessageTraffic> traffic;
  std::vector<double> inForceMs, tokenRequestMs, takeOverMs;
  std::uint64_t granted = 0, refused = 0;  ///< requests with a token, and without one though below the limit
  AcknowledgementCounts changes, heartbeats, departures;
  ConfigurationCost configuration;
  bool copiesEqual = false;  ///< whether all nodes had the same state at the end

  /// Whether the fleet did what is expected of it. A leader that is killed leaves requests without tokens, and runners
  /// without acknowledgements, until the next one is elected: that is reported, but does not fail the run.
  bool passed() const;
};
/// Prints the report as one line of JSON.
void printJson(const ScaleRunReport& report, std::FILE* out);
/// Prints the report as a table.
void printTable(const ScaleRunReport& report, std::FILE* out);
}  // namespace zinccleat::simulation
