/// @file
/// Pool of idle connections to runners. A connection that the runner has closed, or on which it has sent unsolicited
/// bytes, is never reused.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {

class ConnectionPool {
 public:
  /// Takes the most recently used idle connection to a runner; nullptr if there is none.
  /// @param idempotent  whether the request may be sent again. A request that may not be repeated gets only a
  ///                    connection that was used a moment ago: a runner may drop an idle connection earlier than it
  ///                    announced, and then resets the connection when the next request arrives.
  std::unique_ptr<runtime::Connection> acquire(const std::string& runnerId, TimePoint now, bool idempotent);
  /// Returns a connection to the pool. Its last response must have been read completely, with no bytes after it.
  /// @param expiresAt  when the connection is closed if it has not been reused
  void release(const std::string& runnerId, std::unique_ptr<runtime::Connection> connection, TimePoint expiresAt,
               TimePoint now);
  /// Records that a runner had dropped a connection from this pool. This halves the idle time up to which requests that
  /// may not be repeated reuse a connection.
  void recordStaleConnection() {
    maxIdleNonIdempotent_ = std::max(kMinIdleLimitNonIdempotent, maxIdleNonIdempotent_ / 2);
  }
  /// Closes all idle connections to a runner, for example because the runner cannot be reached.
  void closeAll(const std::string& runnerId);
  /// Closes the connections that have expired. To be called periodically.
  void closeExpired(TimePoint now);
  /// Closes the connection that has been idle for the longest time, so that its descriptor can be used.
  /// @return false if the pool is empty.
  bool closeOldest();
  /// Number of idle connections, including those that have expired and were not closed yet.
  std::size_t size() const;

 private:
  static constexpr Duration kMinIdleLimitNonIdempotent{200};
  struct IdleConnection {
    std::unique_ptr<runtime::Connection> connection;
    TimePoint expiresAt;
    TimePoint idleSince;
  };
  Duration maxIdleNonIdempotent_{1600};
  std::unordered_map<std::string, std::vector<IdleConnection>> idle_;  ///< by runner id; most recently used last
};
}  // namespace zinccleat::proxy
