// A simulation of a rollout in a small fleet: proxies with revision gates, controllers with one leader, a log whose
// entries reach the proxies with a delay, and runners of two revisions. Deterministic for a given seed.
#pragma once
#include "rollout_control.hpp"

namespace zinccleat::rollout_world {
/// The behaviour of the candidate.
enum class Version {
  good,
  bad,        ///< half of the answers fail
  late,       ///< half of the answers fail from a fifth of the term on
  faint,      ///< an eighth of the answers fails
  oneRoute,   ///< half of the answers on one route fail
  slow,       ///< nine tenths of the answers count as slow, as if they took eight times as long
  underLoad,  ///< half of the answers fail at a runner with as many requests as usual
};
/// Parameters of a simulation.
struct SimulationOptions {
  Version version = Version::good;
  std::uint64_t seed = 1;
  int proxies = 40;
  int runners = 30;          // number of runners of each revision
  double requestsPerS = 12;  // request rate of each proxy
  Duration term{14000};
  int leaderChanges = 0;      // number of changes, at random times
  double crashedRunners = 0;  // fraction of the runners of both revisions that crash at a time given by the seed
  double faultyRunners = 0;   // fraction of the runners of both revisions that fail two fifths of their answers
  double baselineFailures = 0.002;
  double disconnectedProxies = 0;  // fraction of the proxies that are disconnected from the controllers for 3 s
};
/// Results of a simulation.
struct SimulationResult {
  state_machine::RolloutPhase phase{};
  Duration decidedAfter{0};
  double requests = 0;           // number of requests up to the end of the term
  double candidateRequests = 0;  // number of attempts at the candidate
  double candidateBad = 0;       // number of bad answers of the candidate
  double afterReversal = 0;      // attempts at the candidate later than 1 s after the reversal
  std::string reason;            // reason of the last step
  double steps = 0;              // number of progress records in the log
  bool inProgress() const { return !state_machine::isFinal(phase); }
};
/// Simulates one rollout until the end of its term.
SimulationResult simulate(const SimulationOptions& options);
}  // namespace zinccleat::rollout_world
