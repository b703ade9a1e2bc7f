// A runner's engine in simulated time: slots, a queue, prompts that are processPrompts in turn, tokens that come slower
// the more requests run, and a bounded memory for prompt prefixes. Its figures are this project's own. Pure.
#pragma once
#include <deque>
#include <list>

#include "runtime/common.hpp"

namespace zinccleat::simulated_engine {
/// What an engine can do.
struct Capacity {
  std::size_t slots = 12;
  std::size_t queue = 36;
  double prefillTokensPerMs = 80;
  double tokenMs = 2.8;            // between two tokens of the only stream that runs
  double tokenMsPerStream = 0.25;  // more for each further one
  double prefillShare = 0.6;       // of the time, while there are both prompts to processPrompts and tokens to generate
  double prefixMemory = 300000;    // tokens
  double slowness = 1;             // all work takes so many times as long
};
/// One request.
struct Work {
  std::int64_t id = 0;
  std::uint64_t prefix = 0;  // of the shared part of its prompt
  double sharedTokens = 0;
  double ownTokens = 0;
  double outputTokens = 0;
};
/// A request has come further.
struct Progress {
  std::int64_t id = 0;
  bool finished = false;  // else its first token has been generated
};

class Engine {
 public:
  explicit Engine(Capacity capacity = {}) : capacity_(capacity) {}
  /// @return false: its queue is full, and the request will not run.
  bool submit(const Work& work);
  /// Lets time pass.
  std::vector<Progress> advance(double ms);
  /// Tokens of a request that runs; none: it does not.
  std::optional<double> generated(std::int64_t id) const;
  std::size_t running() const { return running_.size(); }
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t slots() const { return capacity_.slots; }
  double load() const { return static_cast<double>(running() + waiting()) / static_cast<double>(slots()); }

 private:
  struct Running {
    Work work;
    double remainingPromptTokens = 0;
    double generated = 0;
  };
  void admit();
  double processPrompts(double ms);
  bool isCached(std::uint64_t prefix);
  void cache(std::uint64_t prefix, double tokens);

  Capacity capacity_;
  std::vector<Running> running_;  // the oldest first
  std::deque<Work> waiting_;
  std::list<std::pair<std::uint64_t, double>> prefixes_;  // with their tokens, the newest first
  double cachedTokens_ = 0;
};
}  // namespace zinccleat::simulated_engine
