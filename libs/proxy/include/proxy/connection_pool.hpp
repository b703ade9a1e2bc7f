/// @file
/// Idle connections to runners, kept for reuse. One on which the runner has sent unsolicited bytes, or that it has
/// closed, is never reused.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {

class ConnectionPool {
 public:
  /// An idle connection to a runner, the one used last; nullptr if there is none.
  /// @param idempotent  whether the request may be sent again. One that may not gets only a connection that was used a
  ///                    moment ago: a runner may drop the state of an idle connection sooner than it announced, and
  ///                    then resets it with the next request.
  std::unique_ptr<runtime::Connection> acquire(const std::string& runnerId, TimePoint now, bool idempotent);
  /// Keeps a connection whose last response was read completely, with nothing after it.
  /// @param expiresAt  when it is closed if it has not been reused
  void release(const std::string& runnerId, std::unique_ptr<runtime::Connection> connection, TimePoint expiresAt,
               TimePoint now);
  /// A connection from this pool had been dropped by its runner: from now on requests that may not be repeated reuse
  /// connections only for half as long.
  void recordStaleConnection() { maxIdleNonIdempotent_ = std::max(kMinIdleLimitNonIdempotent, maxIdleNonIdempotent_ / 2); }
  /// Closes the connections of a runner that cannot be reached.
  void closeAll(const std::string& runnerId);
  /// Closes the connections that have expired; to be called periodically.
  void closeExpired(TimePoint now);

 private:
  static constexpr Duration kMinIdleLimitNonIdempotent{200};
  struct IdleConnection {
    std::unique_ptr<runtime::Connection> connection;
    TimePoint expiresAt;
    TimePoint idleSince;
  };
  Duration maxIdleNonIdempotent_{1600};
  std::unordered_map<std::string, std::vector<IdleConnection>> idle_;  ///< by runner, the one used last at the end
};
}  // namespace zinccleat::proxy
