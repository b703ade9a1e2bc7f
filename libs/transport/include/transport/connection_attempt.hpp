/// @file
/// Attempts to connect to an endpoint, made only to learn whether its machine answers.
#pragma once
#include <functional>

#include "runtime/asio.hpp"
#include "runtime/common.hpp"
namespace zinccleat::transport {
/// What came back from the machine of an endpoint.
enum class ConnectionOutcome {
  accepted,    ///< the machine accepted the connection; its process may nevertheless stand still
  refused,     ///< the machine refused or reset the connection: no process listens on the port
  unanswered,  ///< nothing came back in time, or the network reported that the machine cannot be reached
  failed,      ///< the attempt failed on this machine and says nothing about the other one
};
/// Name of an outcome for log lines.
const char* nameOf(ConnectionOutcome outcome);

/// One attempt to connect.
struct ConnectionAttempt {
  TimePoint startedAt{};
  TimePoint endedAt{};
  ConnectionOutcome outcome = ConnectionOutcome::failed;
};

/// Attempts to connect to an endpoint on a new fiber. An established connection is closed at once, no byte is sent.
/// @param onEnded called once, when the attempt has ended; at most about `timeout` after this call unless the event
/// loop is delayed.
void attemptConnection(const tcp::endpoint& endpoint, Duration timeout,
                       std::function<void(const ConnectionAttempt&)> onEnded);
}  // namespace zinccleat::transport
