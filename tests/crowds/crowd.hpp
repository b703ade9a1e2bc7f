/// @file
/// A crowd of connections that send what a client inside the limits never sends, or stop short of the end of a message,
/// and stay open without reading.
#pragma once
#include <memory>
#include <string>
#include <vector>

#include "runtime/event_loop.hpp"
namespace zinccleat::crowds {
/// What each connection of a crowd sends: the prefix once, then the repeated part until `bytes` were sent in total.
struct Transmission {
  std::string prefix;
  std::string repeated;
  std::size_t bytes = 0;
};
/// A named crowd.
struct CrowdPlan {
  int connections = 0;
  Transmission transmission;
};
/// The open connections of a crowd. Closes them when it is destroyed.
class Crowd {
 public:
  /// Connects and sends, each connection on a fiber of its own. A connection that the peer closes is not replaced.
  Crowd(const std::string& address, CrowdPlan plan);
  /// Waits until no connection sends any more, each because it has sent all or has met no room for a while.
  void awaitSent() const;
  /// The most bytes that the network has taken from one connection.
  std::size_t mostSent() const;

 private:
  struct State;
  std::shared_ptr<State> state_;
};
}  // namespace zinccleat::crowds
