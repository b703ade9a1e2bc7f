/// @file
/// The open client connections on which no request has begun.
#pragma once
#include "runtime/event_loop.hpp"
namespace zinccleat::proxy {
class IdleConnections {
 public:
  /// Closes each connection once it has been idle for `maxIdle`. If bytes have arrived on a connection by then, they
  /// are still read.
  void limitIdleTime(Duration maxIdle);
  std::size_t size() const { return idleSince_.size(); }

 private:
  friend class IdleScope;
  std::unordered_map<runtime::Connection*, TimePoint> idleSince_;
};

/// Counts a connection as idle for the duration of a scope, in which its fiber waits for the first bytes of a request.
class IdleScope {
 public:
  IdleScope(IdleConnections& connections, runtime::Connection& connection)
      : connections_(connections), connection_(connection) {
    connections_.idleSince_.emplace(&connection_, Clock::now());
  }
  ~IdleScope() { connections_.idleSince_.erase(&connection_); }
  IdleScope(const IdleScope&) = delete;
  IdleScope& operator=(const IdleScope&) = delete;

 private:
  IdleConnections& connections_;
  runtime::Connection& connection_;
};
}  // namespace zinccleat::proxy
