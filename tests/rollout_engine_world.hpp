// A simulation of a rollout in a small fleet whose runners have queues, prompt processing and a prefix cache. The
// revision gates and runner pools of the proxies, the rollout trackers of the controllers and the outlier detection are
// the production code. Deterministic for a given seed.
#pragma once
#include "rollout_control.hpp"

namespace zinccleat::rollout_world {
/// The behaviour of the candidate in a simulation with engines.
enum class EngineVersion {
  good,
  bad,                ///< half of the answers fail
  late,               ///< half of the answers fail from two fifths of the term on
  oneRoute,           ///< half of the answers on one route fail
  slow,               ///< all work takes eight times as long
  underLoad,          ///< a quarter of the answers fails if two fifths of the runner's slots are in use
  underHighLoad,      ///< half of the answers fail if seven tenths of the runner's slots are in use
  lateUnderLoad,      ///< like `underLoad`, but only from two fifths of the term on
  oneRouteUnderLoad,  ///< half of the answers on one route fail if two fifths of the runner's slots are in use
  slowUnderLoad,      ///< work takes six times as long if half of the runner's slots are in use
  someRunners,        ///< a quarter of the runners fails half of its answers
};
/// Parameters of a simulation with engines.
struct EngineSimulationOptions {
  EngineVersion version = EngineVersion::good;
  std::uint64_t seed = 1;
  int proxies = 20;
  int runners = 30;           // number of runners of each revision
  std::size_t slots = 12;     // number of slots of each runner
  double requestsPerS = 170;  // request rate of all proxies together
  bool streams = true;        // false: short requests without a prompt
  Duration term{16000};
  Duration surgeAt{0};  // the request rate rises by half this long after the start of the rollout; 0: no surge
  int leaderChanges = 0;
  double disconnectedProxies = 0;
  double faultyRunners = 0;  // fraction of the runners of both revisions that fail two fifths of their answers
  double baselineFailures = 0.002;
};
/// Results of a simulation with engines.
struct EngineSimulationResult {
  state_machine::RolloutPhase phase{};
  std::string reason;
  Duration decidedAfter{0};
  double requests = 0;           // number of attempts at all runners
  double candidateRequests = 0;  // number of attempts at the candidate
  double candidateBad = 0;
  Duration afterFiftiethBad{0};  // time from the candidate's 50th bad answer to its last request
  double baselineLoad = 0;       // mean load of the baseline's runners at each attempt of the canary phase
  double canaryLoad = 0;
  bool inProgress() const { return !state_machine::isFinal(phase); }
};
/// Simulates one rollout until the end of its term.
EngineSimulationResult simulate(const EngineSimulationOptions& options);
}  // namespace zinccleat::rollout_world
