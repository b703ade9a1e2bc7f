// A small fleet around the rollout engine whose runners have queues, prompts to read and a memory, in simulated time:
// proxies with their gates and their choice of runners, the controllers' side, and outlier detection, all real code.
// Everything follows from the seed.
#pragma once
#include "rollout_control.hpp"

namespace zinccleat::rollout_world {
/// What is wrong with the candidate of a world with engines.
enum class EngineVersion {
  good,
  bad,                ///< half of its answers fail, from the start
  late,               ///< from two fifths of the term on
  oneRoute,           ///< half fail, on one route
  slow,               ///< all work takes eight times as long
  underLoad,          ///< a quarter fails where two fifths of a runner's slots are taken
  underHighLoad,      ///< half fail where seven tenths are
  lateUnderLoad,      ///< as `underLoad`, from two fifths of the term on
  oneRouteUnderLoad,  ///< half fail on one route where two fifths of the slots are taken
  slowUnderLoad,      ///< work takes six times as long where half of the slots are taken
  someRunners,        ///< a quarter of its runners fail half of their answers
};
struct EnginePlan {
  EngineVersion version = EngineVersion::good;
  std::uint64_t seed = 1;
  int proxies = 20;
  int runners = 30;           // of each revision
  std::size_t slots = 12;     // of each runner
  double requestsPerS = 170;  // of all proxies together
  bool streams = true;        // else short requests without a prompt
  Duration term{16000};
  Duration surgeAt{0};  // from here on half as many requests more; 0: no surge
  int leaderChanges = 0;
  double disconnectedProxies = 0;
  double faultyRunners = 0;  // part of the runners of both revisions that fail two fifths of their answers
  double baselineFailures = 0.002;
};
struct EngineOutcome {
  state_machine::RolloutPhase phase{};
  std::string reason;
  Duration decidedAfter{0};
  double requests = 0;           // that reached a runner, up to the term
  double candidateRequests = 0;  // of those, the ones at the candidate
  double candidateBad = 0;
  Duration afterFiftiethBad{0};  // from the 50th bad answer to the candidate's last request
  double baselineLoad = 0;       // mean of the runners' loads, as requests met them before the shift
  double canaryLoad = 0;
  bool inProgress() const { return !state_machine::isFinal(phase); }
};
/// Plays one rollout to its term.
EngineOutcome simulate(const EnginePlan& plan);
}  // namespace zinccleat::rollout_world
