// A simulated inference engine of a runner: slots, a queue, prompts that are processed in order, tokens that are
// generated more slowly the more requests run, and a bounded cache of prompt prefixes. The default capacities are
// assumptions of this project. Deterministic: the time is passed in.
#pragma once
#include <deque>
#include <list>

#include "runtime/common.hpp"

namespace zinccleat::simulated_engine {
/// The capacity and the speed of an engine.
struct Capacity {
  std::size_t slots = 12;
  std::size_t queue = 36;
  double prefillTokensPerMs = 80;
  double tokenMs = 2.8;            // time between two tokens if one request is generating
  double tokenMsPerStream = 0.25;  // additional time for each further request that is generating
  double prefillShare = 0.6;       // fraction of the time for prompts while both prompts and generating requests exist
  double prefixMemory = 300000;    // size of the prefix cache in tokens
  double slowness = 1;             // factor on the duration of all work
};
/// One request.
struct Work {
  std::int64_t id = 0;
  std::uint64_t prefix = 0;  // hash of the shared part of the prompt; 0: none
  double sharedTokens = 0;
  double ownTokens = 0;
  double outputTokens = 0;
};
/// An event of a request: the first token, or the end of the answer.
struct Progress {
  std::int64_t id = 0;
  bool finished = false;  // false: the first token has been generated
};

class Engine {
 public:
  explicit Engine(Capacity capacity = {}) : capacity_(capacity) {}
  /// @return false if the queue is full, so that the request is rejected.
  bool submit(const Work& work);
  /// Advances the engine by a number of milliseconds.
  std::vector<Progress> advance(double ms);
  /// The number of generated tokens of a running request; none if the request is not running.
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
  std::vector<Running> running_;  // in order of admission
  std::deque<Work> waiting_;
  std::list<std::pair<std::uint64_t, double>> prefixes_;  // with numbers of tokens, the most recently used first
  double cachedTokens_ = 0;
};
}  // namespace zinccleat::simulated_engine
