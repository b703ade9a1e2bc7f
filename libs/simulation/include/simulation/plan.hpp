/// The plan of a scale run: how large a model of a fleet it plays on loopback, and under what load and faults.
#pragma once
#include "runtime/common.hpp"
namespace zinccleat::simulation {
/// The members are those of the plan's JSON object.
struct ScaleRunPlan {
  int core = 3;                 ///< controllers, real processes, 1 to 9
  int nodes = 10;               ///< hollow access nodes, all in the scale run's own process, 1 to 1000
  int pair = 1;                 ///< 1: a real agent and proxy beside them
  int runners = 20;             ///< 0 to 2000
  int tenants = 80;             ///< 1 to 20000
  int routes = 10;              ///< 1 to 5000
  double requestsPerS = 100;    ///< over all nodes, by tenants at random
  double changesPerMinute = 6;  ///< of one tenant's access key each
  int restarts = 0;             ///< hollow nodes that are restarted during the measurement
  int runnerEnds = 0;           ///< runners that drain, detach and join again during the measurement
  int coreKills = 0;            ///< times that the leader is killed and started again during the measurement
  int seconds = 10;             ///< length of the measurement, which begins when all nodes have a lease
  std::int64_t seed = 1;
};
/// Reads a plan from a JSON object; members left out keep their defaults.
/// @param overrides name=value pairs that are read after it, each value as JSON.
/// @return `ErrorCode::invalidArgument` for what is no such object, an unknown member or a value out of bounds.
Result<ScaleRunPlan> parsePlan(std::string_view text, const std::vector<std::string>& overrides = {});
/// The configuration of a plan as JSON, with its numbers of routes and tenants.
/// @param keyNumbers for each tenant a number that is part of its second access key.
std::string planConfiguration(const ScaleRunPlan& plan, std::int64_t version, const std::vector<int>& keyNumbers);
/// Runs a plan and prints the report, as JSON or as a table.
/// @param binary the program that is started as controller, agent and proxy.
/// @return the exit code: 0 if the fleet did what is expected of it, else 1.
int runAtScale(const ScaleRunPlan& plan, const std::string& binary, bool json);
}  // namespace zinccleat::simulation
