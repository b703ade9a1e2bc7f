// Clean connections to runners, kept for use again. A connection with anything unasked on it is never used again.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
class ConnectionPool {
 public:
  // An idle connection to this runner (its instance id) that is open and quiet; nullptr: there is none.
  // idempotent: what goes out on it may be sent again. What may not goes only on one used a moment ago: a runner may
  // forget a connection that sits idle, sooner than it says and without a word, and resets what comes next.
  std::unique_ptr<runtime::Connection> take(const std::string& id, TimePoint now, bool idempotent);
  // Keeps a connection whose last answer was read whole, with nothing after it, until then.
  void give(const std::string& id, std::unique_ptr<runtime::Connection> connection, TimePoint until, TimePoint now);
  // A connection taken from here turned out to be forgotten: what can't be repeated trusts idle ones less from now on.
  void forgotten() { safeIdle_ = std::max(kLeastSafeIdle, safeIdle_ / 2); }
  // The runner can't be reached: its connections are closed.
  void drop(const std::string& id);
  // Closes what has been idle for too long; called now and then.
  void sweep(TimePoint now);

 private:
  static constexpr Duration kLeastSafeIdle{200};
  struct Idle {
    std::unique_ptr<runtime::Connection> connection;
    TimePoint until, since;
  };
  Duration safeIdle_{1600};  // how long idle one may have been for what can't be repeated
  std::unordered_map<std::string, std::vector<Idle>> idle_;
};
}  // namespace zinccleat::proxy
