// What one access node sees of the runners that it sends to: attempts that went well, failed, or took far longer than
// the same work takes elsewhere. Few samples a runner, so they are told to the leader, which weighs all nodes' words
// (controller/outliers). Judged against peers, never against a figure from the configuration. Pure.
#pragma once
#include "transport/lease_records.hpp"
namespace zinccleat::balancing {
class RunnerObserver {
 public:
  // The answer to a prompt of so many tokens (0: none) began after `took`. True: no slower than peers are.
  // blamed: it was counted as slow while it was waited for.
  bool began(const std::string& runner, const std::string& service, std::int64_t tokens, Duration took,
             bool blamed = false);
  void failed(const std::string& runner) { seen_[runner].bad += 1; }
  void slow(const std::string& runner) { seen_[runner].bad += slowWeight; }
  // Of a slow answer, beside one that failed: a queue explains some of it.
  static constexpr double slowWeight = 0.5;
  // Beyond this a runner that still says nothing is counted as slow. Max: too few answers seen to tell.
  Duration patience(const std::string& service, std::int64_t tokens) const;
  // Since the last call: runner, attempts that went well, that did not; at most `most` of them, the worst first.
  std::vector<transport::RunnerAttempts> report(std::size_t most);

 private:
  struct Seen {
    double good = 0, bad = 0;
  };
  struct Usual {  // time to the first byte, by the prompt's size in powers of two
    double ms[24] = {}, spread[24] = {};
    int count[24] = {};
  };
  static int bucketOf(std::int64_t tokens);
  std::unordered_map<std::string, Seen> seen_;
  std::unordered_map<std::string, Usual> usual_;
};
}  // namespace zinccleat::balancing
