/// A model checker for the consensus code: a breadth-first search over all orders of events from a starting world,
/// and seeded walks that go deep. Deterministic: limits are numbers of states, never time.
#pragma once
#include "model_world.hpp"

namespace zinccleat::model {
/// The name of an invariant that the world breaks; empty: none.
std::string violatedInvariant(const World& world);
/// Ends all faults and lets the world run: a leader with a lease must be elected, a write must commit, and any loss of
/// one machine must be tolerated. Returns the first invariant that is broken; empty: none.
std::string violationAfterRecovery(World world);

struct SearchLimits {
  std::size_t states = 10000;          ///< distinct ones
  std::size_t recoveryCheckEvery = 0;  ///< in states: every so many, `violationAfterRecovery` is checked; 0: never
};
struct WalkLimits {
  std::size_t walks = 100, steps = 200;
  std::uint64_t seed = 1;
};
struct SearchResult {
  std::string violation;           ///< empty: none found
  std::vector<std::string> trace;  ///< the actions that lead to it
  std::size_t distinct = 0;        ///< states
  std::size_t transitions = 0;
  std::size_t depth = 0;
  bool exhausted = false;  ///< no state within the budgets was left out
  std::string summary() const;
};
SearchResult search(const World& start, const SearchLimits& limits);
/// Walks drawn from seeds; a trace that is found is shortened.
SearchResult walk(const World& start, const WalkLimits& limits);
/// The world after a trace, each action of which must be possible.
World worldAfter(World world, const std::vector<std::string>& trace);
/// Plays a trace as `SearchResult` gives it, skipping actions that are not possible (fixed code may no longer send such
/// a message); returns the invariant broken on the way or after recovery.
std::string replayTrace(const World& start, const std::vector<std::string>& trace);
}  // namespace zinccleat::model
