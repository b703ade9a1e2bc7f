#include "transport/connection_attempt.hpp"

#include "runtime/event_loop.hpp"

namespace zinccleat::transport {
namespace {
ConnectionOutcome outcomeOf(const runtime::SocketError& error, bool deadlineExceeded) {
  if (!error)
    return ConnectionOutcome::accepted;
  if (error == asio::error::connection_refused || error == asio::error::connection_reset)
    return ConnectionOutcome::refused;
  const bool unreachable = error == asio::error::host_unreachable || error == asio::error::network_unreachable ||
                           error == asio::error::timed_out;
  return deadlineExceeded || unreachable ? ConnectionOutcome::unanswered : ConnectionOutcome::failed;
}
}  // namespace

const char* nameOf(ConnectionOutcome outcome) {
  switch (outcome) {
    case ConnectionOutcome::accepted:
      return "accepted";
    case ConnectionOutcome::refused:
      return "refused";
    case ConnectionOutcome::unanswered:
      return "unanswered";
    case ConnectionOutcome::failed:
      break;
  }
  return "failed";
}
void attemptConnection(const tcp::endpoint& endpoint, Duration timeout,
                       std::function<void(const ConnectionAttempt&)> onEnded) {
  runtime::EventLoop::get().spawn([endpoint, timeout, onEnded = std::move(onEnded)] {
    ConnectionAttempt attempt;
    attempt.startedAt = Clock::now();
    runtime::Connection connection;
    connection.setDeadline(attempt.startedAt + timeout);
    runtime::SocketError error;
    connection.connect(endpoint, error);
    attempt.outcome = outcomeOf(error, connection.deadlineExceeded());
    connection.close();
    attempt.endedAt = Clock::now();
    onEnded(attempt);
  });
}
}  // namespace zinccleat::transport
