// What a scale rehearsal plays: our own model of the systems served, on loopback only.
#pragma once
#include "keel/common.hpp"
namespace zc {
struct RehearsalPlan {
  int core = 3;               // real harbourmasters, 1 to 9
  int nodes = 10;             // hollow access nodes, all in the rehearsal's own process
  int pair = 1;               // 1: a real tender and pilot beside them
  int runners = 20, tenants = 80, routes = 10;
  double requestsPerS = 100;  // over all nodes, by tenants at random
  double changesPerMinute = 6;  // of one tenant's key each
  int restarts = 0;           // hollow nodes that begin anew while it is measured
  int runnerEnds = 0;         // runners that drain, leave and begin a new life meanwhile
  int coreKills = 0;          // times that the leader is killed without a word and started again
  int seconds = 10;           // measured, after all have a lease
  std::int64_t seed = 1;
};
// From a JSON object; fields left out keep their defaults. Then name=value pairs on top.
Outcome<RehearsalPlan> parsePlan(std::string_view json, const std::vector<std::string>& sets = {});
// A configuration of so many routes and tenants.
std::string planConfiguration(const RehearsalPlan& p, std::int64_t version, const std::vector<int>& keyNo);
// Runs it, with the program at `binary` as harbourmaster, tender and pilot, and prints what it took. 0: all as expected.
int rehearse(const RehearsalPlan& p, const std::string& binary, bool json);
}  // namespace zc
