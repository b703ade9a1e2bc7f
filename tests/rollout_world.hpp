// A small fleet around the rollout engine, in simulated time: proxies with their gates, controllers of which one leads,
// a log whose entries reach everyone late, and runners of two revisions. Everything follows from the seed.
#pragma once
#include "rollout_control.hpp"

namespace zinccleat::rollout_world {
/// What is wrong with the candidate.
enum class Version {
  good,
  bad,        ///< half of its answers fail, from the start
  late,       ///< from a fifth of the term on
  faint,      ///< an eighth fails
  oneRoute,   ///< half fail, on one route
  slow,       ///< all are eight times slower
  underLoad,  ///< half fail where a runner has as many requests as usual
};
struct Plan {
  Version version = Version::good;
  std::uint64_t seed = 1;
  int proxies = 40;
  int runners = 30;          // of each revision
  double requestsPerS = 12;  // of each proxy
  Duration term{14000};
  int leaderChanges = 0;      // at random times
  double crashedRunners = 0;  // part of the runners of both revisions that crash at a random time
  double faultyRunners = 0;   // part of the runners that fail two fifths of their answers, of both revisions
  double baselineFailures = 0.002;
  double disconnectedProxies = 0;  // part of the proxies that hear nothing for a while
};
struct Outcome {
  state_machine::RolloutPhase phase{};
  Duration decidedAfter{0};
  double requests = 0;           // up to the term
  double candidateRequests = 0;  // of those, the ones that the candidate got
  double candidateBad = 0;       // bad answers
  double afterReversal = 0;      // requests that the candidate got when a second had passed since the reversal
  std::string reason;            // of the last step
  double steps = 0;              // records in the log
  bool inProgress() const { return !state_machine::isFinal(phase); }
};
/// Plays one rollout to its term.
Outcome simulate(const Plan& plan);
}  // namespace zinccleat::rollout_world
