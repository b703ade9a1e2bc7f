// What a scale run plays: our own model of the systems served, on loopback only.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::simulation {
struct ScaleRunPlan {
  int core = 3;    // real controllers, 1 to 9
  int nodes = 10;  // hollow access nodes, all in the scale run's own process
  int pair = 1;    // 1: a real agent and proxy beside them
  int runners = 20, tenants = 80, routes = 10;
  double requestsPerS = 100;    // over all nodes, by tenants at random
  double changesPerMinute = 6;  // of one tenant's key each
  int restarts = 0;             // hollow nodes that begin anew while it is measured
  int runnerEnds = 0;           // runners that drain, leave and begin a new life meanwhile
  int coreKills = 0;            // times that the leader is killed without a word and started again
  int seconds = 10;             // measured, after all have a lease
  std::int64_t seed = 1;
};
// From a JSON object; fields left out keep their defaults. Then name=value pairs on top.
Result<ScaleRunPlan> parsePlan(std::string_view text, const std::vector<std::string>& sets = {});
// A configuration of so many routes and tenants.
std::string planConfiguration(const ScaleRunPlan& p, std::int64_t version, const std::vector<int>& keyNo);
// Runs it, with the program at `binary` as controller, agent and proxy, and prints what it took. 0: all as expected.
int runAtScale(const ScaleRunPlan& p, const std::string& binary, bool json);
}  // namespace zinccleat::simulation
