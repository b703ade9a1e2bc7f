#include "model_checker.hpp"

#include <random>
#include <unordered_set>

namespace zinccleat::model {
using namespace zinccleat::consensus;
namespace {
struct Visited {
  std::size_t parent = 0;
  Action action;
  std::size_t depth = 0;
};
struct FrontierState {
  std::size_t index = 0;
  World world;
};
// Adds the current leaders to the history, which keeps the first leader that was seen in each term.
void recordLeaders(World& world) {
  for (const auto& machine : world.machines) {
    if (!machine->raft || machine->raft->role() != Role::leader)
      continue;
    const auto term = machine->raft->term();
    if (world.history->leaders.contains(term))
      continue;
    auto extended = std::make_shared<History>(*world.history);
    extended->leaders[term] = machine->id;
    world.history = std::move(extended);
  }
}
bool exceedsMaxTerm(const World& world) {
  return std::any_of(world.machines.begin(), world.machines.end(), [&](const auto& machine) {
    return machine->raft && machine->raft->term() > world.budgets.maxTerms;
  });
}
std::vector<std::string> describeActions(World world, const std::vector<Action>& actions) {
  std::vector<std::string> trace;
  for (const auto& action : actions) {
    trace.push_back(world.describe(action));
    world.apply(action);
    recordLeaders(world);
  }
  return trace;
}
std::vector<Action> pathTo(const std::vector<Visited>& visited, std::size_t index) {
  std::vector<Action> path;
  for (; index != 0; index = visited[index].parent)
    path.push_back(visited[index].action);
  std::reverse(path.begin(), path.end());
  return path;
}
// Applies those actions of a trace that are possible, then checks the recovery after the end of all faults. Returns the
// first violated invariant; empty: none.
std::string replay(World world, const std::vector<std::string>& trace) {
  recordLeaders(world);
  for (const auto& wanted : trace) {
    const auto actions = world.possibleActions();
    const auto found = std::find_if(actions.begin(), actions.end(),
                                    [&](const Action& action) { return world.describe(action) == wanted; });
    if (found == actions.end())
      continue;
    world.apply(*found);
    auto violated = violatedInvariant(world);
    if (!violated.empty())
      return violated;
    recordLeaders(world);
  }
  return violationAfterRecovery(world);
}
// Removes actions that are not needed for the violation: first large parts of the trace, then smaller and smaller ones.
std::vector<std::string> minimizeTrace(const World& start, std::vector<std::string> trace,
                                       const std::string& violation) {
  for (auto piece = trace.size() / 2; piece > 0; piece /= 2)
    for (std::size_t at = 0; at < trace.size();) {
      auto shorter = trace;
      const auto from = shorter.begin() + static_cast<std::ptrdiff_t>(at);
      shorter.erase(from, from + static_cast<std::ptrdiff_t>(std::min(piece, trace.size() - at)));
      if (replay(start, shorter) == violation)
        trace = std::move(shorter);
      else
        at += piece;
    }
  return trace;
}
// The relative probability that a random walk takes an action. With equal probabilities, rare actions would hardly ever
// occur among the many deliveries.
std::uint64_t weightOf(ActionKind kind) {
  switch (kind) {
    case ActionKind::deliver:
    case ActionKind::sync:
      return 24;
    case ActionKind::tick:
    case ActionKind::advanceTime:
      return 16;
    case ActionKind::exitAllowed:
      return 8;
    default:
      return 2;
  }
}
Action drawAction(const std::vector<Action>& actions, std::mt19937_64& random) {
  std::uint64_t sum = 0;
  for (const auto& action : actions)
    sum += weightOf(action.kind);
  auto draw = random() % sum;
  for (const auto& action : actions) {
    if (draw < weightOf(action.kind))
      return action;
    draw -= weightOf(action.kind);
  }
  return actions.back();
}
}  // namespace

std::string SearchResult::summary() const {
  return std::to_string(distinct) + " distinct states, " + std::to_string(transitions) + " transitions, depth " +
         std::to_string(depth) + (exhausted ? ", exhausted" : ", not exhausted");
}
World worldAfter(World world, const std::vector<std::string>& trace) {
  recordLeaders(world);
  for (const auto& wanted : trace) {
    const auto actions = world.possibleActions();
    const auto found = std::find_if(actions.begin(), actions.end(),
                                    [&](const Action& action) { return world.describe(action) == wanted; });
    checkInvariant(found != actions.end(), "each action of the trace is possible");
    world.apply(*found);
    recordLeaders(world);
  }
  return world;
}
std::string replayTrace(const World& start, const std::vector<std::string>& trace) {
  return replay(start, trace);
}
namespace {
/// One breadth-first search.
class Search {
 public:
  Search(const World& start, const SearchLimits& limits) : start_(start), limits_(limits), seen_{start.hash()} {
    frontier_.push_back({0, start});
    recordLeaders(frontier_.front().world);
  }
  SearchResult run() {
    while (!frontier_.empty() && !finished_) {
      const auto current = std::move(frontier_.front());
      frontier_.pop_front();
      expand(current);
    }
    result_.distinct = visited_.size();
    result_.exhausted = !finished_;
    return std::move(result_);
  }

 private:
  void expand(const FrontierState& current) {
    for (const auto& action : current.world.possibleActions()) {
      finished_ = finished_ || visited_.size() >= limits_.states;
      if (finished_)
        return;
      auto next = current.world;
      next.apply(action);
      ++result_.transitions;
      visit(current.index, action, std::move(next));
    }
  }
  void visit(std::size_t parent, const Action& action, World next) {
    const auto violated = violatedInvariant(next);
    recordLeaders(next);
    if (violated.empty() && !seen_.insert(next.hash()).second)
      return;
    visited_.push_back({parent, action, visited_[parent].depth + 1});
    result_.depth = visited_.back().depth;
    result_.violation = violated;
    const bool checkRecovery = limits_.recoveryCheckEvery > 0 && visited_.size() % limits_.recoveryCheckEvery == 0;
    if (violated.empty() && checkRecovery)
      result_.violation = violationAfterRecovery(next);
    if (!result_.violation.empty()) {
      result_.trace = describeActions(start_, pathTo(visited_, visited_.size() - 1));
      finished_ = true;
    } else if (!exceedsMaxTerm(next)) {
      frontier_.push_back({visited_.size() - 1, std::move(next)});
    }
  }

  const World& start_;
  const SearchLimits& limits_;
  SearchResult result_;
  std::vector<Visited> visited_{1};
  std::unordered_set<std::uint64_t> seen_;
  std::deque<FrontierState> frontier_;
  bool finished_ = false;  // a violation was found or the limit was reached
};
// Runs one random walk and adds to `result` and `seen`. Returns the actions of the walk.
std::vector<Action> runWalk(World& world, const WalkLimits& limits, std::uint64_t seed, SearchResult& result,
                            std::unordered_set<std::uint64_t>& seen) {
  std::mt19937_64 random(seed);
  std::vector<Action> path;
  while (path.size() < limits.steps && result.violation.empty() && !exceedsMaxTerm(world)) {
    const auto actions = world.possibleActions();
    if (actions.empty())
      break;
    path.push_back(drawAction(actions, random));
    world.apply(path.back());
    ++result.transitions;
    result.violation = violatedInvariant(world);
    recordLeaders(world);
    seen.insert(world.hash());
  }
  result.depth = std::max(result.depth, path.size());
  if (result.violation.empty())
    result.violation = violationAfterRecovery(world);
  return path;
}
}  // namespace

SearchResult search(const World& start, const SearchLimits& limits) {
  return Search(start, limits).run();
}
SearchResult walk(const World& start, const WalkLimits& limits) {
  SearchResult result;
  std::unordered_set<std::uint64_t> seen;
  for (std::size_t walkIndex = 0; walkIndex < limits.walks; ++walkIndex) {
    auto world = start;
    recordLeaders(world);
    const auto path = runWalk(world, limits, limits.seed + walkIndex, result, seen);
    if (!result.violation.empty()) {
      result.trace = minimizeTrace(start, describeActions(start, path), result.violation);
      break;
    }
  }
  result.distinct = seen.size();
  return result;
}
}  // namespace zinccleat::model
