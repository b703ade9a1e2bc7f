/// A model checker for the consensus code: a breadth-first search over all orders of events from a starting world, and
/// seeded random walks, which reach greater depths. The checker is deterministic: limits are numbers of states, never
/// durations.
#pragma once
#include "model_world.hpp"

namespace zinccleat::model {
/// The name of an invariant that the world violates; empty: none.
std::string violatedInvariant(const World& world);
/// Ends all faults and runs the world. After that, a leader with a lease must exist, a write must commit, and the loss
/// of any single machine must be tolerated. Returns the first violated invariant; empty: none.
std::string violationAfterRecovery(World world);

struct SearchLimits {
  std::size_t states = 10000;          ///< the largest number of distinct states
  std::size_t recoveryCheckEvery = 0;  ///< check `violationAfterRecovery` once per this number of states; 0: never
};
struct WalkLimits {
  std::size_t walks = 100, steps = 200;
  std::uint64_t seed = 1;
};
struct SearchResult {
  std::string violation;           ///< empty: none found
  std::vector<std::string> trace;  ///< the actions that lead to the violation
  std::size_t distinct = 0;        ///< the number of distinct states
  std::size_t transitions = 0;
  std::size_t depth = 0;
  bool exhausted = false;  ///< all states within the budgets were visited
  std::string summary() const;
};
SearchResult search(const World& start, const SearchLimits& limits);
/// Runs seeded random walks. The trace of a violation is minimized.
SearchResult walk(const World& start, const WalkLimits& limits);
/// Applies a trace, each action of which must be possible, and returns the resulting world.
World worldAfter(World world, const std::vector<std::string>& trace);
/// Applies a trace from a `SearchResult`. Actions that are not possible are skipped, since fixed code may no longer
/// send a message of the trace. Returns the first invariant that is violated during the trace or after recovery; empty:
/// none.
std::string replayTrace(const World& start, const std::vector<std::string>& trace);
}  // namespace zinccleat::model
