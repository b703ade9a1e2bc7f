// Clean connections to runners, kept for use again. A connection with anything unasked on it is never used again.
#pragma once
#include "runtime/event_loop.hpp"
namespace zc {
class Pool {
 public:
  // repeatable: what goes out on it may be sent again. What may not goes only on one used a moment ago: a runner may
  // forget a connection that sits idle, sooner than it says and without a word, and resets what comes next.
  std::unique_ptr<Connection> take(const std::string& id, Instant now, bool repeatable);
  void give(const std::string& id, std::unique_ptr<Connection> w, Instant until, Instant now);
  // A connection taken from here was reset before any answer.
  void forgotten() { safeIdle_ = std::max(Span(200), safeIdle_ / 2); }
  void drop(const std::string& id);
  void sweep(Instant now);

 private:
  struct Idle {
    std::unique_ptr<Connection> connection;
    Instant until, since;
  };
  Span safeIdle_{1600};  // how long idle one may have been for what can't be repeated
  std::unordered_map<std::string, std::vector<Idle>> idle_;
};
}  // namespace zc
